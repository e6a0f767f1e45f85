package org.almondslip.directory;

/**
 * Entry of a target in the list of live targets.
 *
 * @param id the id of the target, which a later incarnation may reuse
 * @param service the name of its service
 * @param host the IP address
 * @param port the port
 * @param dataCentre the data centre
 * @param slots the maximum number of concurrent requests
 * @param state whether the target accepts new requests
 * @param startMillis the start of the incarnation, in milliseconds since the Unix epoch, 0 if
 *     unknown
 * @param revision the revision of the entry in the store
 */
public record TargetRecord(
    String id,
    String service,
    String host,
    int port,
    String dataCentre,
    int slots,
    State state,
    long startMillis,
    long revision) {

  /** Whether a target accepts new requests. */
  public enum State {
    /** The target accepts new requests. */
    READY,
    /** The target completes its current requests and accepts no new ones. */
    DRAINING
  }

  /**
   * Returns whether another record describes the same incarnation.
   *
   * @param other the other record
   * @return true if id, service, address and start are equal
   */
  public boolean isSameIncarnation(TargetRecord other) {
    return id.equals(other.id)
        && host.equals(other.host)
        && port == other.port
        && service.equals(other.service)
        && startMillis == other.startMillis;
  }
}
