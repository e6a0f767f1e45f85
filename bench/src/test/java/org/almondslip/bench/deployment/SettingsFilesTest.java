package org.almondslip.bench.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.almondslip.error.Findings;
import org.almondslip.settings.Section;
import org.almondslip.standins.StandinKind;

/** Guards the generated settings: a fault would only show when the processes start. */
final class SettingsFilesTest {

  private static final List<String> STANDINS = List.of("targets.yaml", "network.yaml");

  @Property(seed = "41")
  void standinsAcceptTheirSettings(@ForAll DeploymentKind kind) {
    Map<String, String> files = SettingsFiles.of(kind.toDeployment(20_000), "fair");
    for (String file : STANDINS) {
      Findings findings = new Findings();
      Section top = Section.of(file, files.get(file), findings);
      Section all = top.section("standins");
      for (String name : all.keys()) {
        Section one = all.section(name);
        StandinKind.ofLabel(one.text("kind")).orElseThrow().read(name, one);
      }
      top.reportUnknownKeys();
      assertThat(findings.toList()).isEmpty();
    }
  }

  @Property(seed = "42")
  void noAddressIsBoundTwice(@ForAll DeploymentKind kind) {
    Set<String> bound = new HashSet<>();
    SettingsFiles.of(kind.toDeployment(20_000), "fair")
        .forEach(
            (file, text) ->
                text.lines()
                    .filter(line -> line.contains("listen: ") || line.contains("->"))
                    .map(line -> line.replaceAll("^.*listen: |^ *- \"|->.*$", ""))
                    .forEach(address -> assertThat(bound.add(address)).as(address).isTrue()));
    assertThat(bound).allMatch(address -> address.startsWith("127."));
  }

  @Property(seed = "43")
  void everyInstanceHasOneProcess(@ForAll DeploymentKind kind) {
    Deployment deployment = kind.toDeployment(20_000);
    Map<String, String> files = SettingsFiles.of(deployment, "fair");
    List<String> processes = files.get("processes").lines().toList();
    deployment.agents().forEach(node -> assertThat(files).containsKey(node.instance() + ".yaml"));
    deployment.routers().forEach(node -> assertThat(files).containsKey(node.instance() + ".yaml"));
    int instances = deployment.agents().size() + deployment.routers().size();
    assertThat(processes).hasSize(instances + 3).doesNotHaveDuplicates();
  }

  @Property(seed = "44")
  void deploymentsHaveTheSizesOfTheirOwners(@ForAll DeploymentKind kind) {
    Deployment deployment = kind.toDeployment(20_000);
    int models = deployment.pools().get(0).targets();
    int services = deployment.pools().get(1).targets();
    assertThat(deployment.agents()).hasSize(models + services);
    List<Integer> sizes = List.of(models, services, deployment.organisations().size());
    switch (kind) {
      case HANBIT -> assertThat(sizes).containsExactly(12, 3, 16);
      case CROCKERA -> assertThat(sizes).containsExactly(8, 3, 16);
      default -> assertThat(sizes).containsExactly(3, 1, 4);
    }
  }
}
