package org.almondslip.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.almondslip.catalog.CatalogObject.Organisation;
import org.almondslip.catalog.CatalogObject.Share;
import org.almondslip.catalog.CatalogObject.Target;
import org.junit.jupiter.api.Test;

class CatalogTest {

  /** Guards against an object that reverts when an older change arrives late or twice. */
  @Property(seed = "11", tries = 200)
  void mergeIsIndependentOfOrderAndDuplicates(@ForAll long seed) {
    Random random = new Random(seed);
    List<VersionedObject> changes = new ArrayList<>();
    for (int number = 1; number <= 30; number++) {
      Share share = new Share("org-" + random.nextInt(4), number);
      changes.add(new VersionedObject(share, number, number));
    }
    List<VersionedObject> shuffled = new ArrayList<>(changes);
    shuffled.addAll(changes.subList(0, random.nextInt(30)));
    Collections.shuffle(shuffled, random);
    Catalog merged = Catalog.EMPTY;
    for (VersionedObject change : shuffled) {
      merged = merged.merge(List.of(change), change.revision());
    }
    Catalog inOrder = Catalog.EMPTY.merge(changes, 30);
    assertThat(merged.all()).containsExactlyInAnyOrderElementsOf(inOrder.all());
  }

  /** Guards against access of an organisation to targets outside its reach. */
  @Test
  void reachContainsTargetsAndPools() {
    Catalog catalog =
        Catalog.EMPTY.merge(
            List.of(
                new VersionedObject(target("t1", "belt"), 1, 1),
                new VersionedObject(target("t2", "belt"), 1, 1),
                new VersionedObject(target("d1", "desk"), 1, 1),
                new VersionedObject(new Organisation("busan", List.of("belt")), 1, 1),
                new VersionedObject(new Organisation("ulsan", List.of("t2", "d1")), 1, 1)),
            1);
    assertThat(catalog.targetsOf(FlowId.of("busan", "belt"))).containsExactly("t1", "t2");
    assertThat(catalog.targetsOf(FlowId.of("busan", "desk"))).isEmpty();
    assertThat(catalog.targetsOf(FlowId.of("ulsan", "belt"))).containsExactly("t2");
    assertThat(catalog.flow(FlowId.of("ulsan", "desk"))).isPresent();
  }

  private static Target target(String name, String pool) {
    return new Target(name, pool, null, 4, null, null, null);
  }
}
