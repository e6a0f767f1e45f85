package org.almondslip.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Long-term duration of work at one target relative to the mean of its service, merged from the
 * measurements of all routers, so that a router that has just started knows it.
 */
final class SpeedEstimate {

  /** Bounds of a duration, so that a wrong estimate is corrected by later measurements. */
  static final double MIN_DURATION = 0.25;

  /** Upper bound of a duration. */
  static final double MAX_DURATION = 4;

  /** Maximum number of samples of one router that count, which limits the effect of a wrong one. */
  static final int MAX_SAMPLES = 64;

  /** Time after which the estimate of another router is ignored, in milliseconds. */
  static final long PEER_EXPIRY_MILLIS = 60_000;

  /** Time in which the estimate of another router loses half of its weight, in milliseconds. */
  private static final double PEER_HALF_LIFE_MILLIS = 30_000;

  /** Samples at mean speed that are assumed in addition to the measured ones. */
  private static final double PRIOR_SAMPLES = 10;

  private final SpeedSamples samples;

  private final Map<String, PeerEstimate> peers = new HashMap<>();

  /** Duration as measured by this router alone. */
  private double ownDuration = 1;

  private double duration = 1;

  /** Estimate of another router. */
  private record PeerEstimate(double duration, double samples, long receivedAt) {}

  /**
   * Creates an estimate of mean speed.
   *
   * @param samples the measurements of this router
   */
  SpeedEstimate(SpeedSamples samples) {
    this.samples = samples;
  }

  /** Returns the duration relative to the mean of the service. */
  double duration() {
    return duration;
  }

  /** Returns the duration relative to the mean of the service as measured by this router alone. */
  double ownDuration() {
    return ownDuration;
  }

  /** Returns the measurements of this router. */
  SpeedSamples samples() {
    return samples;
  }

  /** Records the estimate of another router, which replaces its previous one. */
  void onPeerEstimate(String router, double peerDuration, int peerSamples, long now) {
    peers.put(router, new PeerEstimate(peerDuration, Math.min(peerSamples, MAX_SAMPLES), now));
  }

  /**
   * Merges the estimates of all routers. The result is not normalised.
   *
   * @param scale the measured duration of a target of mean speed, 0 if it is unknown
   * @param now the current time in milliseconds
   * @return the merged duration
   */
  double merge(double scale, long now) {
    double own = Math.min(samples.count(), MAX_SAMPLES);
    ownDuration = own > 0 && scale > 0 ? bound(samples.duration() / scale) : 1;
    double weight = PRIOR_SAMPLES + own;
    double sum = PRIOR_SAMPLES + own * ownDuration;
    peers.values().removeIf(peer -> now - peer.receivedAt() >= PEER_EXPIRY_MILLIS);
    for (PeerEstimate peer : peers.values()) {
      double peerWeight =
          peer.samples() * Math.pow(0.5, (now - peer.receivedAt()) / PEER_HALF_LIFE_MILLIS);
      weight += peerWeight;
      sum += peerWeight * peer.duration();
    }
    duration = sum / weight;
    return duration;
  }

  /** Divides the durations by the mean of the service. */
  void normalise(double mean) {
    duration = bound(duration / mean);
    ownDuration = bound(ownDuration / mean);
  }

  /** Returns a duration within the bounds. */
  static double bound(double duration) {
    return Math.max(MIN_DURATION, Math.min(MAX_DURATION, duration));
  }
}
