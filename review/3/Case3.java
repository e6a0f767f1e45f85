package org.almondslip.adapter;

/**
 * Rule LOST: one part of a prompt crashes three workers. The routers blame it on a sound part too,
 * since sound streams ran on the same workers, and refuse the sound requests of the same caller.
 */
final class Case3 {

  /** Time between two requests with the crashing part. */
  private static final long TAINTED_INTERVAL_MILLIS = 300;

  private Case3() {}

  public static void main(String[] args) {
    Lab.main(args, Case3::run);
  }

  private static boolean run(Lab lab) throws Exception {
    TaintedParts traffic =
        new TaintedParts(
            lab, TaintedParts.CrashPoint.AFTER_FIRST_EVENT, TAINTED_INTERVAL_MILLIS);
    traffic.play();
    return traffic.soundRequestsBegin();
  }
}
