package org.almondslip.router;

import org.almondslip.process.Launcher;

/** Entry point of the program. */
public final class RouterMain {

  /** Not instantiable. */
  private RouterMain() {}

  /**
   * Runs the program.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    Launcher.run(new RouterProgram(), args);
  }
}
