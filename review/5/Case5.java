package org.almondslip.adapter;

/**
 * Rule BUDGET: one part of a prompt crashes each worker that begins to write the head of an answer
 * on it. The routers never stop to send requests with this part to workers.
 */
final class Case5 {

  /** Time between two requests with the crashing part. */
  private static final long TAINTED_INTERVAL_MILLIS = 700;

  /** Number of requests that the rule allows after the fifth crash and the contact time. */
  private static final int ALLOWED_ARRIVALS = 3;

  private Case5() {}

  public static void main(String[] args) {
    Lab.main(args, Case5::run);
  }

  private static boolean run(Lab lab) throws Exception {
    TaintedParts traffic =
        new TaintedParts(lab, TaintedParts.CrashPoint.WITHIN_HEAD, TAINTED_INTERVAL_MILLIS);
    traffic.play();
    return traffic.lateArrivals() <= ALLOWED_ARRIVALS;
  }
}
