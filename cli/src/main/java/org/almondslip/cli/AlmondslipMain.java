package org.almondslip.cli;

/** Entry point of the program. */
public final class AlmondslipMain {

  /** Not instantiable. */
  private AlmondslipMain() {}

  /**
   * Runs the program.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    System.exit(1);
  }
}
