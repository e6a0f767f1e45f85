package org.almondslip.router;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.function.Supplier;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogObject.ApiKey;
import org.apache.commons.codec.digest.DigestUtils;

/** Finds the organisation of a bearer key. */
final class Authenticator {

  /** Start of the header's value. */
  private static final String SCHEME = "Bearer ";

  /** Hash that is compared when no key matches, so that the time does not depend on it. */
  private static final String NO_HASH = "0".repeat(64);

  /** Longest key that is hashed, in characters. */
  private static final int MAX_KEY = 512;

  /** Catalog in force. */
  private final Supplier<Catalog> catalog;

  /**
   * Creates an authenticator.
   *
   * @param catalog the catalog in force
   */
  Authenticator(Supplier<Catalog> catalog) {
    this.catalog = catalog;
  }

  /**
   * Returns whether keys can be checked.
   *
   * @return false while there is no catalog, when a valid key looks like a wrong one
   */
  boolean isReady() {
    return catalog.get().revision() > 0;
  }

  /**
   * Finds the organisation of a caller.
   *
   * @param authorization the value of the header, null when the caller sent none
   * @return the organisation, or empty when the key is missing, wrong or revoked
   */
  Optional<String> organisation(String authorization) {
    if (authorization == null
        || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
        || authorization.length() > MAX_KEY) {
      return Optional.empty();
    }
    String hash = DigestUtils.sha256Hex(authorization.substring(SCHEME.length()).trim());
    Optional<ApiKey> key = catalog.get().keyWithHash(hash);
    boolean equal =
        MessageDigest.isEqual(bytes(hash), bytes(key.map(ApiKey::sha256).orElse(NO_HASH)));
    return key.filter(found -> equal).map(ApiKey::organisation);
  }

  /**
   * Encodes a hash.
   *
   * @param hash the hash in hex
   * @return its bytes
   */
  private static byte[] bytes(String hash) {
    return hash.getBytes(StandardCharsets.US_ASCII);
  }
}
