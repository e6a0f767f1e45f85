package org.almondslip.catalog;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Computes the identifiers by which flows are referred to in the protocol.
 *
 * <p>An identifier is a 32-bit hash of the organisation and the pool, which keeps digests small. A
 * ticket that would cause a collision between two flows is rejected.
 */
public final class FlowId {

  private FlowId() {}

  /**
   * Computes the identifier of a flow.
   *
   * @param organisation the name of the organisation
   * @param pool the name of the pool
   * @return the MurmurHash3 hash of both names
   */
  public static int of(String organisation, String pool) {
    byte[] name = (organisation + "/" + pool).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash32x86(name, 0, name.length, 0);
  }
}
