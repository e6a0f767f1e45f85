package org.almondslip.catalog;

/**
 * Scheduling flow, which consists of the requests of one organisation to one pool.
 *
 * @param id the flow identifier, as computed by {@link FlowId#of}
 * @param organisation the name of the organisation
 * @param pool the name of the pool
 * @param share the weight of the organisation, at least 1
 */
public record Flow(int id, String organisation, String pool, int share) {

  /**
   * Creates a flow and computes its identifier.
   *
   * @param organisation the name of the organisation
   * @param pool the name of the pool
   * @param share the weight of the organisation, at least 1
   * @return the flow
   */
  public static Flow of(String organisation, String pool, int share) {
    return new Flow(FlowId.of(organisation, pool), organisation, pool, share);
  }
}
