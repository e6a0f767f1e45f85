package org.almondslip.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.almondslip.catalog.CatalogSync;
import org.almondslip.catalog.TicketApplier;
import org.almondslip.platform.HttpTableStore;
import org.almondslip.resource.Closer;
import org.almondslip.router.admin.AdminServer;
import org.almondslip.router.admin.AdminService;
import org.almondslip.router.admin.OperatorKey;
import org.almondslip.standins.HttpStandin;
import org.almondslip.standins.platform.TableServiceStandin;
import org.almondslip.standins.platform.Tables;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the commands against an admin interface over HTTP. */
class AlmondslipMainTest {

  /** Environment that contains the operator key. */
  private static final Map<String, String> ENVIRONMENT = Map.of(Options.KEY_VARIABLE, "secret");

  private final Closer closer = new Closer();

  /** Output for results. */
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  /** Output for errors. */
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @TempDir private Path directory;

  private String address;

  @BeforeEach
  void start() {
    Vertx vertx = Vertx.vertx();
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
    ScheduledExecutorService decision = new ScheduledThreadPoolExecutor(1);
    closer.register(decision::shutdownNow);
    HttpStandin tables =
        closer.register(
            new HttpStandin("t", "127.0.0.1:0", vertx, new TableServiceStandin(new Tables())));
    tables.start();
    HttpTableStore store =
        closer.register(new HttpTableStore(vertx, tables.address(), 5_000, decision));
    CatalogSync sync =
        new CatalogSync(
            store,
            Clock.Standard.SYSTEM,
            RandomSource.SPLIT_MIX_64.create(1L),
            () -> true,
            catalog -> {});
    TicketApplier applier =
        new TicketApplier(store, sync, Clock.Standard.SYSTEM, RandomSource.SPLIT_MIX_64.create(2L));
    decision.scheduleAtFixedRate(sync::onTick, 0, 10, TimeUnit.MILLISECONDS);
    AdminService service =
        new AdminService(
            decision, applier, sync, store, () -> new JsonObject().put("instance", "r1"));
    AdminServer server =
        closer.register(new AdminServer(vertx, OperatorKey.ofSecret("secret"), service));
    address = "127.0.0.1:" + server.listen("127.0.0.1:0");
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Guards against an applied ticket that is missing in the output of other commands. */
  @Test
  void ticketIsAppliedShownAndAudited() {
    String file = writeTicket(3, "");
    assertThat(run("apply", file)).isEqualTo(ExitCode.OK);
    assertThat(run("apply", file)).isEqualTo(ExitCode.OK);
    assertThat(output(out)).isEqualTo("applied with revision 1\nalready applied with revision 1\n");
    assertThat(run("show", "organisation")).isEqualTo(ExitCode.OK);
    assertThat(output(out))
        .isEqualTo(
            "name  number  revision  object\n"
                + "acme  3       1         {\"name\":\"acme\",\"reach\":[]}\n");
    assertThat(run("show", "organisation", "acme")).isEqualTo(ExitCode.OK);
    assertThat(output(out)).contains("number    3\n");
    assertThat(run("audit", "--name", "acme")).isEqualTo(ExitCode.OK);
    assertThat(output(out)).contains("kim").contains("organisation  acme");
    assertThat(run("status")).isEqualTo(ExitCode.OK);
    assertThat(output(out)).contains("catalog_revision  1\n").contains("instance          r1\n");
  }

  /** Guards against failures that scripts cannot distinguish by the exit code. */
  @Test
  void failuresHaveSpecificExitCodes() {
    run("apply", writeTicket(3, ""));
    assertThat(run("apply", writeTicket(2, ""))).isEqualTo(ExitCode.CONFLICT);
    assertThat(output(err)).contains("organisation  acme  3");
    String wrong = writeTicket(4, "none");
    assertThat(run("apply", wrong)).isEqualTo(ExitCode.INVALID);
    assertThat(output(err)).contains(wrong + ":4: objects[0].reach: there is no target or pool");
    assertThat(run("validate", wrong)).isEqualTo(ExitCode.INVALID);
    assertThat(run("validate", writeTicket(2, ""))).isEqualTo(ExitCode.OK);
    assertThat(output(out)).contains("would be refused");
    assertThat(run("show", "organisation", "none")).isEqualTo(ExitCode.NOT_FOUND);
    assertThat(run("show", "a", "b", "c")).isEqualTo(ExitCode.USAGE);
    assertThat(run("apply", "no-such-file")).isEqualTo(ExitCode.USAGE);
    assertThat(run("erase")).isEqualTo(ExitCode.USAGE);
  }

  /** Guards against a missing or wrong key that is reported as another failure. */
  @Test
  void keyIsRequiredAndChecked() throws IOException {
    AlmondslipMain program = newProgram();
    String[] args = {"--admin", address, "status"};
    assertThat(program.run(args, Map.of())).isEqualTo(ExitCode.USAGE);
    assertThat(newProgram().run(args, Map.of(Options.KEY_VARIABLE, "wrong")))
        .isEqualTo(ExitCode.UNAUTHORIZED);
    Path file = Files.writeString(directory.resolve("key"), "secret\n");
    String[] withFile = {"--admin", address, "--key-file", file.toString(), "status"};
    assertThat(newProgram().run(withFile, Map.of())).isEqualTo(ExitCode.OK);
    assertThat(output(err)).doesNotContain("wrong\n").doesNotContain("secret");
  }

  /** Guards against an unreachable router being reported as an unknown outcome. */
  @Test
  void refusedConnectionIsUnavailable() {
    String[] args = {"--admin", "127.0.0.1:1", "apply", writeTicket(1, "")};
    assertThat(newProgram().run(args, ENVIRONMENT)).isEqualTo(ExitCode.UNAVAILABLE);
  }

  /** Guards against JSON output that programs cannot parse. */
  @Test
  void jsonOptionPrintsDocument() {
    String[] args = {"--admin", address, "--json", "status"};
    assertThat(newProgram().run(args, ENVIRONMENT)).isEqualTo(ExitCode.OK);
    assertThat(new JsonObject(output(out)).getString("instance")).isEqualTo("r1");
  }

  /** Guards against undocumented exit codes. */
  @Test
  void helpListsExitCodes() {
    assertThat(newProgram().run(new String[] {"--help"}, Map.of())).isEqualTo(ExitCode.OK);
    String help = output(out);
    assertThat(help).contains("apply").contains("--key-file");
    for (ExitCode code : ExitCode.values()) {
      assertThat(help).contains(code.number() + "  " + code.description());
    }
  }

  /**
   * Writes a ticket file.
   *
   * @param number the number of the ticket
   * @param reach the reach of the organisation
   * @return the path of the file
   */
  private String writeTicket(int number, String reach) {
    String text =
        "number: %d\nauthor: kim\nobjects:\n  - {kind: organisation, name: acme, reach: [%s]}\n";
    try {
      Path file = directory.resolve("ticket-" + number + ".yaml");
      return Files.writeString(file, text.formatted(number, reach)).toString();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /**
   * Runs a command with the operator key.
   *
   * @param command the command with its arguments
   * @return the exit code
   */
  private ExitCode run(String... command) {
    String[] args = new String[command.length + 2];
    args[0] = "--admin";
    args[1] = address;
    System.arraycopy(command, 0, args, 2, command.length);
    return newProgram().run(args, ENVIRONMENT);
  }

  /**
   * Creates the program, which can run only one command.
   *
   * @return the program
   */
  private AlmondslipMain newProgram() {
    return new AlmondslipMain(new PrintStream(out, true), new PrintStream(err, true));
  }

  /**
   * Returns the text that was printed since the last call.
   *
   * @param stream the output
   * @return the text
   */
  private static String output(ByteArrayOutputStream stream) {
    String text = stream.toString();
    stream.reset();
    return text;
  }
}
