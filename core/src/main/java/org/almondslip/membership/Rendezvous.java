package org.almondslip.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.apache.commons.codec.digest.MurmurHash3;

/** Elects instances for a duty by rendezvous hash, without communication. */
public final class Rendezvous {

  /** Pollers of the catalog in each data centre. */
  public static final int POLLERS = 3;

  /** Not instantiable. */
  private Rendezvous() {}

  /**
   * Returns whether an instance is among the first ones by hash.
   *
   * <p>An instance that is missing in a lagging list counts itself all the same, so that there may
   * be one holder more for a while but never one less.
   *
   * @param duty the name of the duty; each duty has its own order
   * @param instanceId the instance
   * @param others the instances that may hold the duty
   * @param count the number of holders
   * @return true when fewer than {@code count} of the others come before it
   */
  public static boolean holds(
      String duty, String instanceId, Collection<String> others, int count) {
    long own = hash(duty, instanceId);
    long before =
        others.stream()
            .filter(other -> !other.equals(instanceId))
            .filter(other -> comesBefore(hash(duty, other), other, own, instanceId))
            .limit(count)
            .count();
    return before < count;
  }

  /**
   * Compares two instances.
   *
   * @param hash the hash of the first
   * @param id the id of the first
   * @param otherHash the hash of the second
   * @param otherId the id of the second
   * @return true when the first comes before the second
   */
  private static boolean comesBefore(long hash, String id, long otherHash, String otherId) {
    return hash != otherHash
        ? Long.compareUnsigned(hash, otherHash) < 0
        : id.compareTo(otherId) < 0;
  }

  /**
   * Hashes an instance for a duty.
   *
   * @param duty the name of the duty
   * @param instanceId the instance
   * @return the hash
   */
  private static long hash(String duty, String instanceId) {
    byte[] text = (duty + "/" + instanceId).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(text, 0, text.length, 0)[0];
  }
}
