package org.almondslip.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.almondslip.directory.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests of {@link Gateway} with targets that respond before they have read the whole request. */
@Timeout(240)
class EarlyResponseTest {

  /** Size of an upload in bytes, more than the socket buffers of the loopback interface hold. */
  private static final int LONG_UPLOAD_BYTES = 12 << 20;

  /** Memory of the bodies of all connections in bytes. */
  private static final long BODY_MEMORY_BYTES = 256L << 20;

  /** Time in which the router reads what a target has written, in milliseconds. */
  private static final long PAUSE_MILLIS = 60;

  /** Number of times that each moment is tried, since a race decides what the router sees. */
  private static final int ROUNDS = 3;

  private static final String HEAD = "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: x\r\n";

  /** Head of a response whose body ends with the connection. */
  private static final String CLOSE_DELIMITED = HEAD + "\r\n";

  private static final String EVENT = "id: 1\ndata: a\n\n";

  private static final String SOUND = HEAD + "Content-Length: 15\r\n\r\n" + EVENT;

  private static final String NEXT_EVENT = "id: 2\ndata: b\n\n";

  private static final String END_OF_CHUNKS = "0\r\n\r\n";

  private final GatewayHarness harness = new GatewayHarness();

  /** How much of the response the target has written when it ends the connection. */
  enum Moment {
    BEFORE_HEAD(""),
    BEFORE_BODY(CLOSE_DELIMITED),
    WITHIN_BODY(CLOSE_DELIMITED + "id: 1\nda"),
    AFTER_EVENT(CLOSE_DELIMITED + EVENT),
    AFTER_EVENTS(CLOSE_DELIMITED + EVENT + NEXT_EVENT);

    private final String written;

    Moment(String written) {
      this.written = written;
    }
  }

  /** How the target ends the connection. */
  enum Ending {
    RESET {
      @Override
      void apply(Socket socket) throws IOException {
        reset(socket);
      }
    },
    RESET_AFTER_PAUSE {
      @Override
      void apply(Socket socket) throws IOException {
        GatewayHarness.sleep(PAUSE_MILLIS);
        reset(socket);
      }
    },
    END_AND_RESET {
      @Override
      void apply(Socket socket) throws IOException {
        socket.shutdownOutput();
        reset(socket);
      }
    },
    END_AND_RESET_AFTER_PAUSE {
      @Override
      void apply(Socket socket) throws IOException {
        GatewayHarness.sleep(PAUSE_MILLIS);
        socket.shutdownOutput();
        GatewayHarness.sleep(PAUSE_MILLIS);
        reset(socket);
      }
    },
    /** The kernel resets the connection, since the target has not read all of the request. */
    CLOSE {
      @Override
      void apply(Socket socket) throws IOException {
        socket.close();
      }
    };

    abstract void apply(Socket socket) throws IOException;
  }

  /** What the target reads of the request before it ends the connection. */
  enum Reading {
    NOTHING(0),
    A_PART(LONG_UPLOAD_BYTES / 4);

    private final int bytes;

    Reading(int bytes) {
      this.bytes = bytes;
    }
  }

  @AfterEach
  void close() {
    harness.close();
  }

  /** Guards against a part of a body that looks complete after a reset within the upload. */
  @ParameterizedTest
  @EnumSource(Ending.class)
  void brokenResponseToUnfinishedUploadIsNoResponse(Ending ending) throws IOException {
    for (Reading reading : Reading.values()) {
      breaks(RouteKind.NON_IDEMPOTENT, ending, reading);
      breaks(RouteKind.STREAMING, ending, reading);
    }
  }

  private void breaks(RouteKind kind, Ending ending, Reading reading) throws IOException {
    harness.setBodyMemory(BODY_MEMORY_BYTES, LONG_UPLOAD_BYTES);
    Moment[] current = {Moment.BEFORE_HEAD};
    ScriptedTarget[] target = new ScriptedTarget[1];
    target[0] =
        harness.earlyTarget(
            (number, socket) -> {
              if (target[0].requests().get(number).contains("id: r2")) {
                socket.getInputStream().readNBytes("hi".length());
                ScriptedTarget.write(socket, SOUND.replace("r1", "r2"));
                return;
              }
              ScriptedTarget.write(socket, current[0].written);
              socket.getInputStream().readNBytes(reading.bytes);
              ending.apply(socket);
            });
    Gateway gateway = harness.gateway(kind, 1, target[0]);
    for (Moment moment : Moment.values()) {
      current[0] = moment;
      for (int i = 0; i < ROUNDS; i++) {
        String what = kind + ", " + reading + ", " + moment;
        String response = GatewayHarness.send(gateway, upload(LONG_UPLOAD_BYTES));
        if (kind.streaming() && response.startsWith("HTTP/1.1 200")) {
          assertThat(response).as(what).doesNotEndWith(END_OF_CHUNKS);
        } else {
          assertThat(response).as(what).startsWith("HTTP/1.1 502");
        }
        // A success keeps the target from being ejected.
        String sound = GatewayHarness.request("").replace("id: r1", "id: r2");
        assertThat(GatewayHarness.send(gateway, sound)).as(what).startsWith("HTTP/1.1 200");
      }
    }
  }

  /** Guards against a retry that is left out, or a part that is joined to the next response. */
  @ParameterizedTest
  @EnumSource(Moment.class)
  void repeatableRequestIsSentToNextTarget(Moment moment) throws IOException {
    harness.setBodyMemory(BODY_MEMORY_BYTES, LONG_UPLOAD_BYTES);
    ScriptedTarget.Script script =
        (number, socket) -> {
          if (number == 0) {
            ScriptedTarget.write(socket, moment.written);
            Ending.RESET_AFTER_PAUSE.apply(socket);
          }
        };
    ScriptedTarget broken = harness.earlyTarget(script);
    ScriptedTarget sound =
        harness.target(
            (number, socket) ->
                ScriptedTarget.write(socket, HEAD + "Content-Length: 5\r\n\r\nwhole"));
    Gateway gateway = harness.gateway(RouteKind.IDEMPOTENT, 3, broken, sound);
    assertThat(GatewayHarness.send(gateway, upload(LONG_UPLOAD_BYTES)))
        .startsWith("HTTP/1.1 200")
        .endsWith("\r\n\r\nwhole");
  }

  /** Guards against a sound response that is lost since its end is the end of the connection. */
  @ParameterizedTest
  @EnumSource(
      value = RouteKind.class,
      names = {"NON_IDEMPOTENT", "IDEMPOTENT", "STREAMING"})
  void closeDelimitedResponseToLongUploadIsComplete(RouteKind kind) throws IOException {
    harness.setBodyMemory(BODY_MEMORY_BYTES, LONG_UPLOAD_BYTES);
    ScriptedTarget target =
        harness.target(
            (number, socket) -> {
              ScriptedTarget.write(socket, CLOSE_DELIMITED + EVENT + NEXT_EVENT);
              socket.close();
            });
    for (int bytes : new int[] {1, 64 << 10, LONG_UPLOAD_BYTES}) {
      Gateway gateway = harness.gateway(kind, 1, target);
      assertThat(GatewayHarness.send(gateway, upload(bytes)))
          .startsWith("HTTP/1.1 200")
          .contains(NEXT_EVENT)
          .matches(response -> !kind.streaming() || response.endsWith(END_OF_CHUNKS));
    }
  }

  /** Guards against a sound response that is lost since it begins before the end of the upload. */
  @Test
  void closeDelimitedResponseBegunEarlyIsComplete() throws IOException {
    harness.setBodyMemory(BODY_MEMORY_BYTES, LONG_UPLOAD_BYTES);
    ScriptedTarget target =
        harness.earlyTarget(
            (number, socket) -> {
              ScriptedTarget.write(socket, CLOSE_DELIMITED + EVENT);
              readUpload(socket);
              ScriptedTarget.write(socket, NEXT_EVENT);
              socket.close();
            });
    Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
    assertThat(GatewayHarness.send(gateway, upload(LONG_UPLOAD_BYTES)))
        .startsWith("HTTP/1.1 200")
        .endsWith(EVENT + NEXT_EVENT);
  }

  /** Guards against a sound response with a length that is lost within the upload. */
  @Test
  void framedResponseToUnfinishedUploadIsComplete() throws IOException {
    harness.setBodyMemory(BODY_MEMORY_BYTES, LONG_UPLOAD_BYTES);
    for (String response :
        List.of(
            HEAD + "Content-Length: 5\r\n\r\nwhole",
            HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")) {
      ScriptedTarget target =
          harness.earlyTarget(
              (number, socket) -> {
                ScriptedTarget.write(socket, response);
                GatewayHarness.sleep(PAUSE_MILLIS);
                socket.getInputStream().readNBytes(Reading.A_PART.bytes);
              });
      Gateway gateway = harness.gateway(RouteKind.NON_IDEMPOTENT, 1, target);
      assertThat(GatewayHarness.send(gateway, upload(LONG_UPLOAD_BYTES)))
          .startsWith("HTTP/1.1 200")
          .endsWith("\r\n\r\nwhole");
    }
  }

  private static void readUpload(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    in.readNBytes(LONG_UPLOAD_BYTES);
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  private static String upload(int bytes) {
    String head =
        GatewayHarness.request("").replace("Content-Length: 2\r\n\r\nhi", "Content-Length: ");
    byte[] body = new byte[bytes];
    Arrays.fill(body, (byte) 'u');
    return head + bytes + "\r\n\r\n" + new String(body, StandardCharsets.ISO_8859_1);
  }
}
