package org.almondslip.dispatch;

/** Creates jobs for tests of other packages. */
public final class TestJobs {

  /** Objective of the jobs in milliseconds. */
  private static final long OBJECTIVE_MILLIS = 100_000;

  private TestJobs() {}

  /**
   * Creates a job that ignores its outcome.
   *
   * @param organisation the name of the organisation
   * @param tokens the number of tokens of the prompt
   * @param arrivedAt the arrival time in milliseconds
   * @return the job
   */
  public static Job job(String organisation, int tokens, long arrivedAt) {
    return new TestJob(
        organisation,
        "r",
        organisation.hashCode(),
        tokens,
        arrivedAt,
        OBJECTIVE_MILLIS,
        sent -> {});
  }
}
