package org.almondslip.membership;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Order of instances by rendezvous hash.
 *
 * <p>All processes compute the same order from the same instances, and an instance that joins or
 * leaves does not change the order of the others.
 */
public final class RendezvousOrder implements Comparator<String> {

  /** Text that distinguishes the duties for which instances are ordered. */
  private final String duty;

  /**
   * Creates an order.
   *
   * @param duty a text that distinguishes the duties for which instances are ordered
   */
  public RendezvousOrder(String duty) {
    this.duty = duty;
  }

  @Override
  public int compare(String left, String right) {
    int byHash = Long.compareUnsigned(hash(left), hash(right));
    return byHash != 0 ? byHash : left.compareTo(right);
  }

  /**
   * Computes the hash of an instance.
   *
   * @param instanceId the instance
   * @return the hash
   */
  public long hash(String instanceId) {
    byte[] name = (duty + "/" + instanceId).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(name, 0, name.length, 0)[0];
  }
}
