package org.almondslip.agent;

import org.almondslip.process.Launcher;

/** Entry point of the agent process. */
public final class AgentMain {

  /** Not instantiable. */
  private AgentMain() {}

  /**
   * Runs the program.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    Launcher.run(new AgentProgram(), args);
  }
}
