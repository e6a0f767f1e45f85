package org.almondslip.catalog;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Identity of a flow, which is the pair of an organisation and a pool, on the wire.
 *
 * <p>32 bits keep digests small. A ticket that would give two flows the same identity is refused.
 */
public final class FlowId {

  /** Not instantiable. */
  private FlowId() {}

  /**
   * Computes the identity of a flow.
   *
   * @param organisation the name of the organisation
   * @param pool the name of the pool
   * @return the identity
   */
  public static int of(String organisation, String pool) {
    byte[] name = (organisation + "/" + pool).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash32x86(name, 0, name.length, 0);
  }
}
