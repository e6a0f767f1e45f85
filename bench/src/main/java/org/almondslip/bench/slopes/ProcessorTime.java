package org.almondslip.bench.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/**
 * Processor time of one role. All roles run in turn on one thread, whose processor time excludes
 * the time in which other programs have the processor.
 */
final class ProcessorTime {

  /** Reader of the thread's processor time. */
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  /** Nanoseconds in a microsecond. */
  private static final double NANOS_PER_MICRO = 1_000;

  /** Time so far, in nanoseconds. */
  private long nanos;

  /**
   * Runs a step of the role.
   *
   * @param step the step
   */
  void time(Runnable step) {
    long start = THREADS.getCurrentThreadCpuTime();
    step.run();
    nanos += THREADS.getCurrentThreadCpuTime() - start;
  }

  /**
   * Returns the time and starts again at 0.
   *
   * @return the time since the last call, in microseconds
   */
  double takeMicros() {
    double micros = nanos / NANOS_PER_MICRO;
    nanos = 0;
    return micros;
  }
}
