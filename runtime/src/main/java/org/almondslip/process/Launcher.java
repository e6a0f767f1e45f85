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

/** Reads arguments and settings, starts a program and stops it on SIGTERM. */
public final class Launcher {

  /** Exit status for wrong arguments or settings. */
  private static final int EXIT_USAGE = 2;

  /** Logger of this class. */
  private static final FluentLogger logger;

  static {
    // The class of the log manager is fixed when the first logger is created.
    System.setProperty(DrainLogManager.PROPERTY, DrainLogManager.class.getName());
    logger = FluentLogger.forEnclosingClass();
  }

  /** Not instantiable. */
  private Launcher() {}

  /**
   * Runs a program until the process is asked to stop.
   *
   * @param program the program
   * @param args the command-line arguments
   * @param <S> the type of its settings
   */
  public static <S> void run(Program<S> program, String[] args) {
    // By default the signal ends the process, also one that has just started.
    Signal.handle(new Signal("HUP"), signal -> {});
    int status = launch(program, args, System.out, System.err);
    if (status != 0) {
      System.exit(status);
    }
  }

  /**
   * Checks arguments and settings and, unless only a check is wanted, runs the program.
   *
   * @param program the program
   * @param args the command-line arguments
   * @param out where the result of a check is printed
   * @param err where findings are printed
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
        Section.of(arguments.settings().toString(), read(arguments, findings), findings);
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
   * Starts the program and waits for the signal to stop.
   *
   * @param program the program
   * @param arguments the command-line arguments
   * @param section the top level of the settings
   * @param settings the settings
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
      logger.atWarning().log("a logger was created too early: a planned stop will not be logged");
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
    // Without a handler the signal would end the process at once, without a planned stop.
    Signal.handle(new Signal("HUP"), signal -> reload(program, arguments));
    logger.atInfo().log("started");
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Checks the settings file again and logs whether it would be accepted. Settings are in force
   * from the start of a process, so changed ones need a restart.
   *
   * @param program the program
   * @param arguments the command-line arguments
   * @param <S> the type of the settings
   */
  private static <S> void reload(Program<S> program, Arguments arguments) {
    Findings findings = new Findings();
    Section section =
        Section.of(arguments.settings().toString(), read(arguments, findings), findings);
    program.readSettings(section);
    section.reportUnknownKeys();
    logger.atInfo().log(
        "reload: the settings file has %d findings; changes take effect at the next start",
        findings.toList().size());
  }

  /**
   * Does a planned stop and logs its start and its end.
   *
   * @param running the program
   */
  private static void drain(Program.Running running) {
    logger.atInfo().log("planned stop: draining");
    try {
      running.drain();
      logger.atInfo().log("stopped");
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("the planned stop failed");
    } finally {
      DrainLogManager.releaseHandlers();
    }
  }

  /**
   * Reads the settings file.
   *
   * @param arguments the command-line arguments
   * @param findings the receiver of findings
   * @return the content, an empty mapping when it cannot be read
   */
  private static String read(Arguments arguments, Findings findings) {
    try {
      return Files.readString(arguments.settings());
    } catch (IOException e) {
      findings.add(new Finding(arguments.settings().toString(), 0, "", "cannot be read"));
      return "{}";
    }
  }
}
