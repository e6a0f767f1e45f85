package org.almondslip.bench.deployment;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * An organisation of a deployment.
 *
 * @param name the name
 * @param share the share
 * @param demand the part of the steady load that it sends, in any unit
 */
public record Organisation(String name, int share, double demand) {

  /**
   * Returns the identity of its API key.
   *
   * @return the identity
   */
  public String keyName() {
    return "key-" + name;
  }

  /**
   * Returns the secret of its API key. It protects nothing: the deployments exist on loopback
   * addresses only.
   *
   * @return the secret
   */
  public String secret() {
    return "secret-of-" + name;
  }

  /**
   * Returns the hash of the secret, as the catalog holds it.
   *
   * @return the SHA-256 hash in lower-case hex
   */
  public String secretHash() {
    return DigestUtils.sha256Hex(secret().getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the value of the authorization header.
   *
   * @return the value
   */
  public String authorization() {
    return "Bearer " + secret();
  }
}
