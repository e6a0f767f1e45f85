package org.almondslip.faults;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import org.almondslip.error.Ran;
import org.almondslip.execution.TargetCall;
import org.almondslip.protocol.wire.Header;
import org.almondslip.routing.Outcome;

/** What callers and targets saw, and the promises checked on it. */
final class History {

  /** Header that carries the number of the submission to the target. */
  static final String SUBMISSION = "x-submission";

  private final Map<Long, Submission> submissions = new TreeMap<>();
  private final Map<Long, Integer> runsBySubmission = new HashMap<>();
  private final Map<String, Integer> runsByBody = new HashMap<>();
  private final Set<String> violations = new HashSet<>();
  private LongConsumer onRun = submission -> {};

  /** One request as its caller sees it. */
  static final class Submission {

    private final Workload.Kind kind;
    private final String body;
    private final RouterNode router;
    private final StringBuilder received = new StringBuilder();
    private int heads;
    private int ends;
    private Optional<Outcome> outcome = Optional.empty();

    Submission(Workload.Kind kind, String body, RouterNode router) {
      this.kind = kind;
      this.body = body;
      this.router = router;
    }

    boolean ended() {
      return ends > 0;
    }

    boolean completed() {
      return outcome.isPresent() && outcome.get().failure().isEmpty();
    }

    Optional<Outcome> outcome() {
      return outcome;
    }

    String received() {
      return received.toString();
    }
  }

  Submission submit(long number, Workload.Kind kind, String body, RouterNode router) {
    Submission submission = new Submission(kind, body, router);
    submissions.put(number, submission);
    return submission;
  }

  void onHead(long number) {
    submissions.get(number).heads++;
  }

  void onData(long number, ByteString data) {
    Submission submission = submissions.get(number);
    submission.received.append(data.toStringUtf8());
    if (submission.ended()) {
      violations.add("submission " + number + " got data after its end");
    }
  }

  void onEnd(long number, Outcome outcome) {
    Submission submission = submissions.get(number);
    submission.ends++;
    submission.outcome = Optional.of(outcome);
  }

  void onRun(TargetCall call) {
    runsByBody.merge(call.body().toStringUtf8(), 1, Integer::sum);
    for (Header header : call.headers()) {
      if (header.getName().equals(SUBMISSION)) {
        long number = Long.parseLong(header.getValue());
        runsBySubmission.merge(number, 1, Integer::sum);
        onRun.accept(number);
      }
    }
  }

  void setOnRun(LongConsumer hook) {
    onRun = hook;
  }

  int runsOf(String body) {
    return runsByBody.getOrDefault(body, 0);
  }

  Submission submission(long number) {
    return submissions.get(number);
  }

  int completed() {
    return (int) submissions.values().stream().filter(Submission::completed).count();
  }

  /** Returns whether every request whose router lives has ended. */
  boolean settled() {
    return submissions.values().stream().allMatch(one -> one.ended() || !one.router.alive());
  }

  /** Checks every promise on all submissions, once the fleet has had time to settle them. */
  void check() {
    assertThat(violations).isEmpty();
    submissions.forEach(this::checkSubmission);
  }

  private void checkSubmission(long number, Submission submission) {
    String name = submission.kind + " " + number + " " + submission.outcome;
    assertThat(submission.heads).as("heads of %s", name).isLessThanOrEqualTo(1);
    if (submission.router.alive()) {
      assertThat(submission.ends).as("ends of %s", name).isEqualTo(1);
    }
    String whole = Answers.whole(submission.body);
    assertThat(whole).as("own answer in order of %s", name).startsWith(submission.received());
    if (submission.completed()) {
      assertThat(submission.received()).as("whole answer of %s", name).isEqualTo(whole);
    }
    if (submission.outcome.filter(outcome -> outcome.ran() == Ran.NO).isPresent()) {
      int runs = runsBySubmission.getOrDefault(number, 0);
      assertThat(runs).as("runs of %s, refused as not run", name).isZero();
    }
    if (!submission.kind.idempotent()) {
      assertThat(runsOf(submission.body)).as("runs of the order %s", name).isLessThanOrEqualTo(1);
    }
  }
}
