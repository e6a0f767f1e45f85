package org.almondslip.execution;

import org.almondslip.protocol.wire.RequestId;

/**
 * Cluster-wide identifier of a request.
 *
 * @param routerIncarnation the incarnation of the router that accepted it
 * @param sequence the sequence number at that router
 */
record RequestKey(long routerIncarnation, long sequence) {

  /**
   * Creates a key from its wire form.
   *
   * @param id the wire form
   * @return the key
   */
  static RequestKey of(RequestId id) {
    return new RequestKey(id.getRouterIncarnation(), id.getSequence());
  }

  /**
   * Returns the wire form.
   *
   * @return the wire form
   */
  RequestId toWire() {
    return RequestId.newBuilder()
        .setRouterIncarnation(routerIncarnation)
        .setSequence(sequence)
        .build();
  }

  @Override
  public String toString() {
    return Long.toUnsignedString(routerIncarnation, 16) + "-" + Long.toUnsignedString(sequence);
  }
}
