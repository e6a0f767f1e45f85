package org.almondslip.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.almondslip.settings.Section;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LauncherTest {

  /** Longest wait for the process; only a failing run takes as long. */
  private static final long LIMIT_SECONDS = 60;

  @TempDir private Path directory;

  /** Program whose drain takes longer than the other shutdown hooks of the process. */
  static final class SlowToStop implements Program<String> {

    @Override
    public String name() {
      return "slow-to-stop";
    }

    @Override
    public String readSettings(Section section) {
      return section.optionalText("instance").orElse("");
    }

    @Override
    public Running start(String settings) {
      return () -> {
        // The hook of the logging library, which removes all handlers, has ended by then.
        while (Thread.getAllStackTraces().keySet().stream().anyMatch(this::removesHandlers)) {
          Thread.onSpinWait();
        }
        FluentLogger.forEnclosingClass()
            .atInfo()
            .log("handlers left: %s", Logger.getLogger("").getHandlers().length);
      };
    }

    private boolean removesHandlers(Thread thread) {
      return thread.getClass().getName().startsWith("java.util.logging.LogManager");
    }

    public static void main(String[] args) {
      Launcher.run(new SlowToStop(), args);
    }
  }

  /** Program that sends SIGHUP to its own process while it starts. */
  static final class SignalledAtStart implements Program<String> {

    @Override
    public String name() {
      return "signalled-at-start";
    }

    @Override
    public String readSettings(Section section) {
      return section.optionalText("instance").orElse("");
    }

    @Override
    public Running start(String settings) {
      try {
        new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid()))
            .start()
            .waitFor();
      } catch (IOException | InterruptedException e) {
        throw new IllegalStateException("the signal was not sent", e);
      }
      return () -> {};
    }

    public static void main(String[] args) {
      Launcher.run(new SignalledAtStart(), args);
    }
  }

  /** Guards against a program that SIGHUP ends while it starts. */
  @Test
  void signalDuringStartDoesNotEndProcess() throws Exception {
    assertThat(linesUntilStopped(SignalledAtStart.class))
        .anyMatch(line -> line.contains("\"started\""))
        .anyMatch(line -> line.contains("\"stopped\""));
  }

  /** Guards against a planned stop that cannot be followed in the log. */
  @Test
  void startAndEndOfDrainAreLogged() throws Exception {
    List<String> lines = linesUntilStopped(SlowToStop.class);
    assertThat(lines).hasSize(4);
    assertThat(lines.get(1)).contains("planned stop: draining");
    assertThat(lines.get(2)).contains("handlers left: 1");
    assertThat(lines.get(3)).contains("\"stopped\"");
  }

  /**
   * Runs a program in a process of its own and stops it when it has started.
   *
   * @param program the class of the program
   * @return the lines of its output
   * @throws Exception when the process cannot be run
   */
  private List<String> linesUntilStopped(Class<?> program) throws Exception {
    Path settings = Files.writeString(directory.resolve("settings.yaml"), "instance: a\n");
    Path log = directory.resolve("log");
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                program.getName(),
                "--settings",
                settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .start();
    try {
      while (process.isAlive() && !Files.readString(log).contains("\"started\"")) {
        Thread.onSpinWait();
      }
      process.destroy();
      assertThat(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    } finally {
      process.destroyForcibly();
    }
    return Files.readAllLines(log);
  }
}
