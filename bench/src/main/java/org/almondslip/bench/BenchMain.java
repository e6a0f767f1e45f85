package org.almondslip.bench;

/** Entry point of the program. */
public final class BenchMain {

  /** Not instantiable. */
  private BenchMain() {}

  /**
   * Runs the program.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    System.exit(1);
  }
}
