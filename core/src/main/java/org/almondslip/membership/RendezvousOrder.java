package org.almondslip.membership;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Order of instances by rendezvous hash.
 *
 * <p>All processes compute the same order, and an instance that joins or leaves does not change the
 * relative order of the others.
 */
public final class RendezvousOrder implements Comparator<String> {

  /** Hash prefix that makes the orders for different purposes independent. */
  private final String purpose;

  /**
   * Creates an order.
   *
   * @param purpose a hash prefix that makes the orders for different purposes independent
   */
  public RendezvousOrder(String purpose) {
    this.purpose = purpose;
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
   * @return the hash, to be compared as an unsigned number
   */
  public long hash(String instanceId) {
    byte[] name = (purpose + "/" + instanceId).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(name, 0, name.length, 0)[0];
  }
}
