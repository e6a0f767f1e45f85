package org.almondslip.order;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.almondslip.protocol.wire.Dispatch;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * A request with an idempotency key.
 *
 * @param organisation the organisation
 * @param idempotencyKey the key that the caller gave
 * @param fingerprint a hash of what is asked, so that a key cannot be used for another request
 * @param identity the request id, which is the identity of the claim
 * @param deadlineMillis the time until the deadline of the request, in milliseconds
 */
public record Order(
    String organisation,
    String idempotencyKey,
    String fingerprint,
    String identity,
    long deadlineMillis) {

  /** Separates the hashed fields, so that two different requests never hash the same bytes. */
  private static final byte SEPARATOR = 0;

  /**
   * Creates the order of a dispatched request.
   *
   * @param dispatch the request
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
   * Returns the order with another time until its deadline.
   *
   * @param millis the time until the deadline, in milliseconds
   * @return the new order
   */
  public Order withDeadlineMillis(long millis) {
    return new Order(organisation, idempotencyKey, fingerprint, identity, millis);
  }

  /**
   * Returns the key of the claim record. The caller's key is hashed, since it may hold any bytes
   * and must not show up in paths or logs.
   *
   * @return the key of the row
   */
  public String rowKey() {
    return organisation + "/" + DigestUtils.sha256Hex(idempotencyKey);
  }
}
