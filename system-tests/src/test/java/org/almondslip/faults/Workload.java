package org.almondslip.faults;

import com.google.protobuf.ByteString;
import java.util.List;
import org.almondslip.protocol.wire.Header;
import org.almondslip.routing.CallerRequest;

/** Requests that the tests send. */
final class Workload {

  private static final long TIMEOUT_MILLIS = 60_000;
  private static final long HINT_MILLIS = 200;

  private Workload() {}

  /** Kinds of requests. */
  enum Kind {
    STREAM(true, CallerRequest.Kind.MODEL, "POST"),
    STOCK_CHECK(true, CallerRequest.Kind.SERVICE, "GET"),
    ORDER(false, CallerRequest.Kind.SERVICE, "POST"),
    KEYED_ORDER(false, CallerRequest.Kind.SERVICE, "POST");

    private final boolean idempotent;
    private final CallerRequest.Kind type;
    private final String method;

    Kind(boolean idempotent, CallerRequest.Kind type, String method) {
      this.idempotent = idempotent;
      this.type = type;
      this.method = method;
    }

    boolean idempotent() {
      return idempotent;
    }
  }

  static CallerRequest request(long number, String organisation, Kind kind, String body) {
    Header header =
        Header.newBuilder().setName(History.SUBMISSION).setValue(Long.toString(number)).build();
    return new CallerRequest(
        number,
        organisation,
        kind.type == CallerRequest.Kind.MODEL ? FaultFleet.MODELS : FaultFleet.DESKS,
        kind.type,
        kind.method,
        "/",
        List.of(header),
        ByteString.copyFromUtf8(body),
        TIMEOUT_MILLIS,
        HINT_MILLIS,
        kind == Kind.STREAM,
        kind == Kind.KEYED_ORDER ? "key-" + body : "");
  }
}
