package org.almondslip.process;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.almondslip.error.Finding;
import org.almondslip.error.Findings;
import org.almondslip.logging.DrainLogManager;
import org.almondslip.logging.JsonLines;
import org.almondslip.settings.Section;
import sun.misc.Signal;

/**
 * Runs the long-running programs: reads arguments and settings, starts a program and shuts it down
 * on SIGTERM.
 */
public final class Launcher {

  /** Exit status for invalid arguments or settings. */
  private static final int EXIT_USAGE = 2;

  private static final FluentLogger logger;

  static {
    // The log manager is initialized by the first logger, so the property must be set first.
    System.setProperty(DrainLogManager.PROPERTY, DrainLogManager.class.getName());
    logger = FluentLogger.forEnclosingClass();
  }

  private Launcher() {}

  /**
   * Runs a program until the process is terminated by SIGTERM. Exits the process with status 2 if
   * the arguments or the settings are invalid.
   *
   * @param program the program
   * @param args the command-line arguments
   * @param <S> the type of its settings
   */
  public static <S> void run(Program<S> program, String[] args) {
    // The default action of SIGHUP terminates the process, also during startup.
    Signal.handle(new Signal("HUP"), signal -> {});
    int status = launch(program, args, System.out, System.err);
    if (status != 0) {
      System.exit(status);
    }
  }

  /**
   * Validates arguments and settings, and runs the program unless only the check or the usage is
   * requested.
   *
   * @param program the program
   * @param args the command-line arguments
   * @param out the stream for the result of a check
   * @param err the stream for invalid arguments and findings
   * @param <S> the type of its settings
   * @return the exit status
   */
  static <S> int launch(Program<S> program, String[] args, PrintStream out, PrintStream err) {
    Arguments arguments = new Arguments();
    JCommander commander =
        JCommander.newBuilder().programName(program.name()).addObject(arguments).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      err.println(e.getMessage());
      return EXIT_USAGE;
    }
    if (arguments.help()) {
      commander.usage();
      return 0;
    }
    Findings findings = new Findings();
    Section section =
        Section.of(arguments.settings().toString(), readFile(arguments, findings), findings);
    S settings = findings.isEmpty() ? program.readSettings(section) : null;
    section.reportUnknownKeys();
    if (!findings.isEmpty()) {
      findings.toList().forEach(err::println);
      return EXIT_USAGE;
    }
    if (arguments.check()) {
      out.println(arguments.settings() + ": no findings");
      return 0;
    }
    runUntilStopped(program, arguments, section, settings);
    return 0;
  }

  /**
   * Starts the program and waits until the shutdown hook has completed.
   *
   * @param program the program
   * @param arguments the command-line arguments
   * @param section the top level of the settings
   * @param settings the validated settings
   * @param <S> the type of the settings
   */
  private static <S> void runUntilStopped(
      Program<S> program, Arguments arguments, Section section, S settings) {
    JsonLines.install(
        Map.of(
            "program", program.name(),
            "instance", section.optionalText("instance").orElse(""),
            "region", section.optionalText("region").orElse("")),
        System.out);
    if (!DrainLogManager.keepHandlers()) {
      logger.atWarning().log(
          "a logger was created before the log manager: the shutdown will not be logged");
    }
    Program.Running running = program.start(settings);
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  drain(running);
                  stopped.countDown();
                },
                "shutdown"));
    // The default action of SIGHUP terminates the process without a graceful shutdown.
    Signal.handle(new Signal("HUP"), signal -> revalidateSettings(program, arguments));
    logger.atInfo().log("started");
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Validates the settings file again and logs the number of findings. Settings are read only at
   * startup, so changes require a restart.
   *
   * @param program the program
   * @param arguments the command-line arguments
   * @param <S> the type of the settings
   */
  private static <S> void revalidateSettings(Program<S> program, Arguments arguments) {
    Findings findings = new Findings();
    Section section =
        Section.of(arguments.settings().toString(), readFile(arguments, findings), findings);
    program.readSettings(section);
    section.reportUnknownKeys();
    logger.atInfo().log(
        "reload: the settings file has %d findings; changes take effect at the next start",
        findings.toList().size());
  }

  /** Shuts down the program gracefully, and logs the start and the end of the shutdown. */
  private static void drain(Program.Running running) {
    logger.atInfo().log("planned stop: draining");
    try {
      running.drain();
      logger.atInfo().log("stopped");
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("the graceful shutdown failed");
    } finally {
      DrainLogManager.releaseHandlers();
    }
  }

  /**
   * Reads the settings file. An unreadable file is added to the findings.
   *
   * @param arguments the command-line arguments
   * @param findings the findings to add to
   * @return the content, or an empty mapping if the file cannot be read
   */
  private static String readFile(Arguments arguments, Findings findings) {
    try {
      return Files.readString(arguments.settings());
    } catch (IOException e) {
      findings.add(new Finding(arguments.settings().toString(), 0, "", "cannot be read"));
      return "{}";
    }
  }
}
