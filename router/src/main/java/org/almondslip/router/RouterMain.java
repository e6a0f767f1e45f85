package org.almondslip.router;

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
    System.exit(1);
  }
}
