package org.almondslip.directory;

/**
 * Entry of a target in the list of live targets.
 *
 * @param id the id of the target, which a later incarnation may reuse
 * @param service the name of its service
 * @param host the IP address
 * @param port the port
 * @param dataCentre the data centre
 * @param region the region of the data centre, empty if it is unknown
 * @param slots the maximum number of concurrent requests
 * @param state whether the target accepts new requests
 * @param startMillis the start of the incarnation, in milliseconds since the Unix epoch, 0 if
 *     unknown
 * @param coldMillis the time for which the target stays cold, in milliseconds, as of when the entry
 *     was written; 0 if it is warm
 * @param revision the revision of the entry in the store
 */
public record TargetRecord(
    String id,
    String service,
    String host,
    int port,
    String dataCentre,
    String region,
    int slots,
    State state,
    long startMillis,
    long coldMillis,
    long revision) {

  /**
   * Creates the entry of a warm target in an unknown region.
   *
   * @param id the id of the target
   * @param service the name of its service
   * @param host the IP address
   * @param port the port
   * @param dataCentre the data centre
   * @param slots the maximum number of concurrent requests
   * @param state whether the target accepts new requests
   * @param startMillis the start of the incarnation, in milliseconds since the Unix epoch
   * @param revision the revision of the entry in the store
   */
  public TargetRecord(
      String id,
      String service,
      String host,
      int port,
      String dataCentre,
      int slots,
      State state,
      long startMillis,
      long revision) {
    this(id, service, host, port, dataCentre, "", slots, state, startMillis, 0, revision);
  }

  /** Whether a target accepts new requests. */
  public enum State {
    /** The target accepts new requests. */
    READY,
    /** The target completes its current requests and accepts no new ones. */
    DRAINING
  }

  /**
   * Returns a key of this incarnation that is the same on all routers.
   *
   * @return a hash of the id and the start time of the target
   */
  public long incarnationKey() {
    return (long) id.hashCode() << Integer.SIZE ^ Long.hashCode(startMillis);
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
