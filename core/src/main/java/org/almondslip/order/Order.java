package org.almondslip.order;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.almondslip.protocol.wire.Dispatch;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * A request with an idempotency key.
 *
 * @param organisation the organisation of the caller
 * @param idempotencyKey the idempotency key from the caller
 * @param fingerprint a hash of the request, which detects the reuse of a key for another request
 * @param identity the request id, which also identifies the claim
 * @param deadlineMillis the time until the deadline of the request, in milliseconds
 */
public record Order(
    String organisation,
    String idempotencyKey,
    String fingerprint,
    String identity,
    long deadlineMillis) {

  /** Ends each hashed field, so that different requests never yield the same hash input. */
  private static final byte SEPARATOR = 0;

  /**
   * Creates the order of a dispatched request, fingerprinted by pool, method, path and body.
   *
   * @param dispatch the dispatched request
   * @param identity the request id
   * @return the order
   */
  public static Order of(Dispatch dispatch, String identity) {
    MessageDigest digest = DigestUtils.getSha256Digest();
    for (String field :
        new String[] {dispatch.getPool(), dispatch.getMethod(), dispatch.getPath()}) {
      digest.update(field.getBytes(StandardCharsets.UTF_8));
      digest.update(SEPARATOR);
    }
    dispatch.getBody().asReadOnlyByteBufferList().forEach(digest::update);
    return new Order(
        dispatch.getOrganisation(),
        dispatch.getIdempotencyKey(),
        Hex.encodeHexString(digest.digest()),
        identity,
        dispatch.getDeadlineMs());
  }

  /**
   * Returns a copy of this order with another time until its deadline.
   *
   * @param millis the time until the deadline, in milliseconds
   * @return the new order
   */
  public Order withDeadlineMillis(long millis) {
    return new Order(organisation, idempotencyKey, fingerprint, identity, millis);
  }

  /**
   * Returns the row key of the claim record. The caller's key is hashed because it may hold any
   * bytes and must not appear in paths or logs.
   *
   * @return the organisation and the SHA-256 hash of the idempotency key, separated by a slash
   */
  public String rowKey() {
    return organisation + "/" + DigestUtils.sha256Hex(idempotencyKey);
  }
}
