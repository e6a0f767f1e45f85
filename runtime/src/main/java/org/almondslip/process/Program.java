package org.almondslip.process;

import org.almondslip.settings.Section;

/**
 * A long-running program.
 *
 * @param <S> the type of its settings
 */
public interface Program<S> {

  /**
   * Returns the name of the program for log records and the usage text.
   *
   * @return the name
   */
  String name();

  /**
   * Reads the settings. Invalid values are added to the findings of the section.
   *
   * @param section the top level of the settings file
   * @return the settings, which are used only if there are no findings
   */
  S readSettings(Section section);

  /**
   * Starts the program.
   *
   * @param settings the validated settings
   * @return the running program
   */
  Running start(S settings);

  /** A running program. */
  interface Running {

    /**
     * Shuts down the program gracefully: refuses new work, completes running work and releases all
     * resources. Returns when this is done or the drain limit has passed.
     */
    void drain();
  }
}
