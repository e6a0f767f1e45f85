package org.almondslip.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link ResponseGuard} around the decoder of HTTP responses. */
class ResponseGuardTest {

  /** Pieces of which changed responses are made, those that decoders are known to repair first. */
  private static final List<String> PIECES =
      List.of(
          " ",
          "\t",
          "\r",
          "\n",
          "\r\n",
          "\u0001",
          "\u000e",
          ":",
          ";",
          ",",
          "0",
          "5",
          "x",
          "é",
          "\u007f",
          "Content-Length: 3\r\n",
          "Content-Length : 3\r\n",
          "Transfer-Encoding: chunked\r\n",
          "Transfer-Encoding: x\r\n",
          "HTTP/1.1 ",
          "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 103 Hint\r\na: b\r\n\r\n",
          "1\r\ny\r\n",
          "0\r\n\r\n");

  private static final List<String> SOUND =
      List.of(
          "HTTP/1.1 200 OK\r\na: b\r\nContent-Length: 5\r\n\r\nhello",
          "HTTP/1.1 200 OK\r\na: b\r\nTransfer-Encoding: chunked\r\n\r\n"
              + "5;c=d\r\nhello\r\n0\r\ne: f\r\n\r\n",
          "HTTP/1.1 100 Continue\r\na: b\r\n\r\n"
              + "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno",
          "HTTP/1.1 200 OK\r\na: b\r\n\r\nuntil the end",
          "HTTP/1.0 500 Error\r\nContent-Length: 0\r\na:\r\n\r\n",
          "HTTP/1.1 204 None\r\na: b\r\n\r\n",
          "HTTP/1.1 205 Reset\r\nContent-Length: 3\r\n\r\nabc",
          "HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n");

  /**
   * What was received.
   *
   * @param status the status code
   * @param fields the fields of the head without those that frame the body
   * @param body the body
   */
  private record Message(int status, List<String> fields, String body) {}

  /** Guards against bytes that the guard and the decoder read differently. */
  @Property(tries = 20_000, seed = "45")
  void decoderReadsWhatGrammarSays(
      @ForAll @IntRange(max = 7) int response,
      @ForAll @Size(min = 1, max = 3) List<@IntRange(max = 23) Integer> pieces,
      @ForAll @Size(3) List<@IntRange(max = 120) Integer> places,
      @ForAll @Size(3) List<@IntRange(max = 3) Integer> removed) {
    StringBuilder bytes = new StringBuilder(SOUND.get(response));
    for (int i = 0; i < pieces.size(); i++) {
      int at = places.get(i) % (bytes.length() + 1);
      int end = Math.min(bytes.length(), at + removed.get(i));
      bytes.replace(at, end, PIECES.get(pieces.get(i)));
    }
    String changed = bytes.toString();
    receive(changed, true)
        .ifPresent(message -> assertThat(message).as(escape(changed)).isEqualTo(read(changed)));
  }

  /** Guards against a sound response that is lost, or read otherwise than it was written. */
  @Test
  void soundResponsesAreReceived() {
    for (String response : SOUND) {
      assertThat(receive(response, true)).as(response).contains(read(response));
    }
  }

  /** Guards against a part of a response that ends where its connection does. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void partOfResponseIsNotReceived(boolean inOrder) {
    for (String response : SOUND) {
      int head = response.indexOf("\r\n\r\n") + 4;
      boolean untilEnd = inOrder && !response.contains("Length") && response.contains("200 OK");
      boolean chunked = response.contains("chunked");
      int limit = untilEnd && !chunked ? head : response.length();
      for (int length = 0; length < limit; length++) {
        assertThat(receive(response.substring(0, length), inOrder)).as(response).isEmpty();
      }
    }
    String untilEnd = SOUND.get(3);
    assertThat(receive(untilEnd, inOrder).isPresent()).isEqualTo(inOrder);
  }

  /** Guards against a response that counts as complete after an error of its connection. */
  @Test
  void endBehindErrorIsNoEnd() {
    EmbeddedChannel channel = connect();
    channel.writeInbound(Unpooled.copiedBuffer(SOUND.get(3), StandardCharsets.ISO_8859_1));
    channel.pipeline().fireExceptionCaught(new IOException("reset"));
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    assertThat(collect(channel)).isEmpty();
    assertThat(channel.isOpen()).isFalse();
  }

  private static EmbeddedChannel connect() {
    EmbeddedChannel channel = new EmbeddedChannel(new HttpClientCodec());
    ResponseGuard.install(channel);
    channel
        .pipeline()
        .addLast(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
                // The tests look at the messages only.
              }
            });
    channel.writeOutbound(
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER));
    channel.releaseOutbound();
    return channel;
  }

  /** Returns the response that a client gets, empty if it gets none or only a part. */
  private static Optional<Message> receive(String bytes, boolean inOrder) {
    EmbeddedChannel channel = connect();
    channel.writeInbound(toBuffer(bytes));
    if (inOrder && channel.isOpen()) {
      channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    }
    channel.close();
    return collect(channel);
  }

  private static ByteBuf toBuffer(String bytes) {
    return Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1);
  }

  private static Optional<Message> collect(EmbeddedChannel channel) {
    Optional<Message> message = Optional.empty();
    Optional<HttpResponse> head = Optional.empty();
    StringBuilder body = new StringBuilder();
    for (Object next = channel.readInbound(); next != null; next = channel.readInbound()) {
      if (next instanceof HttpResponse response) {
        assertThat(message).isEmpty();
        head = Optional.of(response).filter(ignored -> response.decoderResult().isSuccess());
        body.setLength(0);
      }
      if (next instanceof HttpContent content) {
        body.append(content.content().toString(StandardCharsets.ISO_8859_1));
        if (content instanceof LastHttpContent last && last.decoderResult().isSuccess()) {
          HttpResponse response = head.orElseThrow();
          int status = response.status().code();
          if (status >= 200) {
            message = Optional.of(new Message(status, fields(response), body.toString()));
          }
        }
        content.release();
      }
    }
    return message;
  }

  private static List<String> fields(HttpResponse response) {
    return response.headers().entries().stream()
        .map(entry -> field(entry.getKey(), entry.getValue()))
        .filter(field -> !isFraming(field))
        .toList();
  }

  private static String field(String name, String value) {
    return name + ": " + value;
  }

  /** Reads a response that is known to be valid, line by line. */
  private static Message read(String bytes) {
    int at = 0;
    while (true) {
      int lineEnd = bytes.indexOf('\n', at);
      final int status = Integer.parseInt(bytes.substring(at + 9, at + 12));
      List<String> fields = new ArrayList<>();
      at = lineEnd + 1;
      lineEnd = bytes.indexOf('\n', at);
      while (!bytes.substring(at, lineEnd).strip().isEmpty()) {
        String line = bytes.substring(at, lineEnd);
        int colon = line.indexOf(':');
        fields.add(field(line.substring(0, colon), line.substring(colon + 1).strip()));
        at = lineEnd + 1;
        lineEnd = bytes.indexOf('\n', at);
      }
      at = lineEnd + 1;
      if (status >= 200) {
        String body = body(status, fields, bytes.substring(at));
        fields.removeIf(ResponseGuardTest::isFraming);
        return new Message(status, fields, body);
      }
    }
  }

  private static String body(int status, List<String> fields, String rest) {
    if (isBodiless(status)) {
      return "";
    }
    for (String field : fields) {
      if (isCoding(field)) {
        return chunks(rest);
      }
      if (isLength(field)) {
        return rest.substring(0, Integer.parseInt(field.substring("content-length: ".length())));
      }
    }
    return rest;
  }

  private static boolean isBodiless(int status) {
    return status == 204 || status == 304;
  }

  private static boolean isCoding(String field) {
    return field.toLowerCase(Locale.ROOT).startsWith("transfer-encoding: ");
  }

  /** Returns whether a field frames the body, so that a decoder may write it in another way. */
  private static boolean isFraming(String field) {
    return isCoding(field) || isLength(field);
  }

  private static boolean isLength(String field) {
    return field.toLowerCase(Locale.ROOT).startsWith("content-length: ");
  }

  private static String chunks(String rest) {
    StringBuilder body = new StringBuilder();
    int at = 0;
    while (true) {
      int lineEnd = rest.indexOf("\r\n", at);
      int size = Integer.parseInt(rest.substring(at, lineEnd).split("[ \t;]")[0], 16);
      if (size == 0) {
        return body.toString();
      }
      body.append(rest, lineEnd + 2, lineEnd + 2 + size);
      at = lineEnd + 2 + size + 2;
    }
  }

  private static String escape(String text) {
    StringBuilder escaped = new StringBuilder();
    for (char c : text.toCharArray()) {
      boolean printable = c >= ' ' && c < 0x7f;
      escaped.append(printable ? String.valueOf(c) : String.format(Locale.ROOT, "<%02x>", (int) c));
    }
    return escaped.toString();
  }
}
