package org.almondslip.process;

import org.almondslip.settings.Section;

/**
 * A long-running program.
 *
 * @param <S> the type of its settings
 */
public interface Program<S> {

  /**
   * Returns the name of the program.
   *
   * @return the name
   */
  String name();

  /**
   * Reads the settings; faults become findings of the section.
   *
   * @param section the top level of the settings file
   * @return the settings, only used when there is no finding
   */
  S readSettings(Section section);

  /**
   * Starts the program.
   *
   * @param settings the settings without findings
   * @return the running program
   */
  Running start(S settings);

  /** A program that runs. */
  interface Running {

    /**
     * Does a planned stop: takes no new work, finishes what runs and releases everything. Returns
     * when all is done or the drain limit has passed.
     */
    void drain();
  }
}
