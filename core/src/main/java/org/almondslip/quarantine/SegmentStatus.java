package org.almondslip.quarantine;

/**
 * What a router knows of a suspected segment, as reported to other routers.
 *
 * @param earlierAnswers the number of requests with the segment that the router saw answered before
 *     it suspected the segment
 * @param answers the number of requests with the segment that the router saw answered since the
 *     last quarantine or release
 * @param quarantines the number of quarantines of the segment so far, including the current one
 * @param released whether the last quarantine ended since requests were answered
 * @param remainingMillis the remaining time of the quarantine in milliseconds, 0 if it has ended
 */
public record SegmentStatus(
    long earlierAnswers, long answers, int quarantines, boolean released, long remainingMillis) {

  /** Number of events of a segment: each quarantine and each release is one. */
  int version() {
    return 2 * quarantines + (released ? 1 : 0);
  }
}
