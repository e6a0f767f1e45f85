package org.almondslip.directory;

/**
 * Entry of a target in the list of live targets.
 *
 * @param id the id of the target, which a later incarnation may use again
 * @param service the name of its service
 * @param host the IP address
 * @param port the port
 * @param dataCentre the data centre
 * @param slots the requests that it runs at once
 * @param state whether it takes new requests
 * @param startMillis the start of the incarnation in milliseconds since the epoch, 0 when unknown
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

  /** Whether a target takes new requests. */
  public enum State {
    /** It takes new requests. */
    READY,
    /** It finishes its requests and takes no new ones. */
    DRAINING
  }

  /**
   * Returns whether another record describes the same incarnation.
   *
   * @param other the other record
   * @return true when id, address and start are the same
   */
  public boolean sameIncarnation(TargetRecord other) {
    return id.equals(other.id)
        && host.equals(other.host)
        && port == other.port
        && service.equals(other.service)
        && startMillis == other.startMillis;
  }
}
