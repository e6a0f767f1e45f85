package org.almondslip.bench.load;

/**
 * A request that the generator will send.
 *
 * @param number the number, which differs between all requests of a run
 * @param atMillis when to send it, since the start of the load
 * @param organisation the organisation that sends it
 * @param kind the kind
 * @param pool the pool that answers it
 */
public record PlannedRequest(
    int number, long atMillis, String organisation, RequestKind kind, String pool) {

  /**
   * Returns the body.
   *
   * @return the body
   */
  public String body() {
    return kind.body(number, organisation, pool);
  }
}
