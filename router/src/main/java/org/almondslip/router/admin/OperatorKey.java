package org.almondslip.router.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Key of the operators, known by its hash only.
 *
 * @param sha256 the SHA-256 hash of the key, in lower-case hex
 */
public record OperatorKey(String sha256) {

  /** Start of the header's value. */
  private static final String SCHEME = "Bearer ";

  /**
   * Creates the key of a secret.
   *
   * @param secret the secret that operators send
   * @return the key
   */
  public static OperatorKey ofSecret(String secret) {
    return new OperatorKey(DigestUtils.sha256Hex(secret));
  }

  /**
   * Returns whether a request carries the key. The comparison takes the same time for every wrong
   * key.
   *
   * @param authorization the value of the {@code Authorization} header, empty when it is missing
   * @return true when the key is right
   */
  public boolean matches(Optional<String> authorization) {
    String value = authorization.orElse("");
    String secret = value.startsWith(SCHEME) ? value.substring(SCHEME.length()) : "";
    byte[] hash = DigestUtils.sha256Hex(secret).getBytes(StandardCharsets.US_ASCII);
    return MessageDigest.isEqual(hash, sha256.getBytes(StandardCharsets.US_ASCII));
  }

  @Override
  public String toString() {
    return "OperatorKey";
  }
}
