package org.almondslip.standins;

/** Entry point of the program. */
public final class StandinsMain {

  /** Not instantiable. */
  private StandinsMain() {}

  /**
   * Runs the program.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    System.exit(1);
  }
}
