package org.almondslip.catalog;

/**
 * Requests of one organisation for one pool.
 *
 * @param id the identity on the wire
 * @param organisation the name of the organisation
 * @param pool the name of the pool
 * @param share the weight of the organisation, at least 1
 */
public record Flow(int id, String organisation, String pool, int share) {

  /**
   * Creates a flow with its identity.
   *
   * @param organisation the name of the organisation
   * @param pool the name of the pool
   * @param share the weight of the organisation
   * @return the flow
   */
  public static Flow of(String organisation, String pool, int share) {
    return new Flow(FlowId.of(organisation, pool), organisation, pool, share);
  }
}
