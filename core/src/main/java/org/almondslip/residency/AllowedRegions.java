package org.almondslip.residency;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Regions in which requests of a route or an organisation may be served. */
public final class AllowedRegions {

  /** Allows all regions, also an unknown one. */
  public static final AllowedRegions ANY = new AllowedRegions(Optional.empty());

  /** Allowed regions, empty if all are allowed. */
  private final Optional<Set<String>> regions;

  private AllowedRegions(Optional<Set<String>> regions) {
    this.regions = regions;
  }

  /**
   * Allows the listed regions only.
   *
   * @param regions the names of the regions; an empty collection allows none
   * @return the restriction
   */
  public static AllowedRegions of(Collection<String> regions) {
    return new AllowedRegions(Optional.of(Set.copyOf(regions)));
  }

  /**
   * Returns whether requests may be served in a region.
   *
   * @param region the name of the region, empty if it is unknown
   * @return true if the region is allowed; an unknown region is allowed only without a restriction
   */
  public boolean permits(String region) {
    return regions.isEmpty() || !region.isEmpty() && regions.get().contains(region);
  }

  /**
   * Returns whether any region is excluded.
   *
   * @return false if all regions are allowed
   */
  public boolean isRestricted() {
    return regions.isPresent();
  }

  /**
   * Returns the listed regions.
   *
   * @return the names of the allowed regions, empty without a restriction
   */
  public Set<String> names() {
    return regions.orElse(Set.of());
  }

  /**
   * Combines two restrictions, both of which bind.
   *
   * @param other the other restriction
   * @return a restriction that permits what both permit
   */
  public AllowedRegions and(AllowedRegions other) {
    if (regions.isEmpty()) {
      return other;
    }
    if (other.regions.isEmpty()) {
      return this;
    }
    Set<String> common = new TreeSet<>(regions.get());
    common.retainAll(other.regions.get());
    return of(common);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof AllowedRegions that && regions.equals(that.regions);
  }

  @Override
  public int hashCode() {
    return regions.hashCode();
  }

  @Override
  public String toString() {
    return regions.map(known -> new TreeSet<>(known).toString()).orElse("any region");
  }
}
