package org.almondslip.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.almondslip.protocol.wire.Role;

class DigestTreeTest {

  /** Guards against agents without a path to the root and against cycles of parents. */
  @Property(seed = "41", tries = 100)
  void everyAgentHasOnePathToTheRoot(
      @ForAll @IntRange(min = 1, max = 60) int agents, @ForAll long seed) {
    Random random = new Random(seed);
    List<Member> members = members(agents);
    Collections.shuffle(members, random);
    DigestTree tree = DigestTree.of(members);
    Set<String> unreachable = new HashSet<>();
    members.stream()
        .skip(1)
        .filter(member -> random.nextInt(4) == 0)
        .forEach(member -> unreachable.add(member.instanceId()));
    String root = tree.root("dc", id -> !unreachable.contains(id)).orElseThrow();
    for (Member member : members) {
      String id = member.instanceId();
      int steps = 0;
      while (!unreachable.contains(id) && !id.equals(root)) {
        id = tree.parent("dc", id, other -> !unreachable.contains(other)).orElseThrow();
        assertThat(steps++).isLessThan(agents);
      }
    }
  }

  /** Guards against {@code parent} and {@code children} that contradict each other. */
  @Property(seed = "42", tries = 20)
  void childrenNameTheirParent(@ForAll @IntRange(min = 1, max = 60) int agents) {
    DigestTree tree = DigestTree.of(members(agents));
    for (String id : tree.agents("dc")) {
      assertThat(tree.children("dc", id)).hasSizeLessThanOrEqualTo(DigestTree.FAN_OUT);
      for (String child : tree.children("dc", id)) {
        assertThat(tree.parent("dc", child, any -> true)).contains(id);
        assertThat(tree.height("dc", child)).isLessThan(tree.height("dc", id));
      }
    }
  }

  /** Guards against a data centre that loses all its pollers when one of them leaves. */
  @Property(seed = "43", tries = 20)
  void pollersChangeOnlyWhenOneOfThemLeaves(@ForAll @IntRange(min = 4, max = 60) int agents) {
    List<Member> members = members(agents);
    List<String> pollers = PollerElection.SMALLEST_HASH.pollers(members, "dc");
    assertThat(pollers).hasSize(PollerElection.POLLERS);
    members.removeIf(member -> member.instanceId().equals(pollers.get(0)));
    assertThat(PollerElection.SMALLEST_HASH.pollers(members, "dc"))
        .containsAll(pollers.subList(1, pollers.size()));
  }

  private static List<Member> members(int agents) {
    List<Member> members = new ArrayList<>();
    for (int index = 0; index < agents; index++) {
      members.add(new Member("i" + index, Role.AGENT, "r", "dc", "", "t" + index, false));
    }
    return members;
  }
}
