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

  /** Upper bound for the wait for the process, which only a failing run reaches. */
  private static final long TIMEOUT_SECONDS = 60;

  @TempDir private Path directory;

  /** Program that drains for longer than the shutdown hook of the logging library runs. */
  static final class SlowShutdown implements Program<String> {

    @Override
    public String name() {
      return "slow-shutdown";
    }

    @Override
    public String readSettings(Section section) {
      return section.optionalText("instance").orElse("");
    }

    @Override
    public Running start(String settings) {
      return () -> {
        // Waits until the hook of the logging library, which removes all handlers, has ended.
        while (Thread.getAllStackTraces().keySet().stream().anyMatch(this::isLogManagerHook)) {
          Thread.onSpinWait();
        }
        FluentLogger.forEnclosingClass()
            .atInfo()
            .log("handlers left: %s", Logger.getLogger("").getHandlers().length);
      };
    }

    private boolean isLogManagerHook(Thread thread) {
      return thread.getClass().getName().startsWith("java.util.logging.LogManager");
    }

    public static void main(String[] args) {
      Launcher.run(new SlowShutdown(), args);
    }
  }

  /** Program that sends SIGHUP to its own process during startup. */
  static final class HangupAtStart implements Program<String> {

    @Override
    public String name() {
      return "hangup-at-start";
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
      Launcher.run(new HangupAtStart(), args);
    }
  }

  /** Guards against SIGHUP terminating a program during startup. */
  @Test
  void signalDuringStartDoesNotEndProcess() throws Exception {
    assertThat(runUntilTerminated(HangupAtStart.class))
        .anyMatch(line -> line.contains("\"started\""))
        .anyMatch(line -> line.contains("\"stopped\""));
  }

  /** Guards against log records that are lost during a graceful shutdown. */
  @Test
  void startAndEndOfDrainAreLogged() throws Exception {
    List<String> lines = runUntilTerminated(SlowShutdown.class);
    assertThat(lines).hasSize(4);
    assertThat(lines.get(1)).contains("planned stop: draining");
    assertThat(lines.get(2)).contains("handlers left: 1");
    assertThat(lines.get(3)).contains("\"stopped\"");
  }

  /**
   * Runs a program in a separate process and terminates it once it has started.
   *
   * @param program the main class of the program
   * @return the lines of its output
   * @throws Exception if the process cannot be run
   */
  private List<String> runUntilTerminated(Class<?> program) throws Exception {
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
      assertThat(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    } finally {
      process.destroyForcibly();
    }
    return Files.readAllLines(log);
  }
}
