package org.almondslip.order;

import com.google.protobuf.ByteString;
import java.util.Base64;
import java.util.List;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Header;

/**
 * Answer of a target as stored in a claim record.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body in Base64, or empty when it is in the object store
 * @param object the key of the body in the object store, or empty when the body is inline
 */
public record RecordedAnswer(int status, List<RecordedHeader> headers, String body, String object) {

  /**
   * HTTP header of a recorded answer.
   *
   * @param name the name
   * @param value the value
   */
  public record RecordedHeader(String name, String value) {}

  /**
   * Creates an answer with a copy of the headers.
   *
   * @param status the HTTP status
   * @param headers the headers
   * @param body the body in Base64, or empty when it is in the object store
   * @param object the key of the body in the object store, or empty when the body is inline
   */
  public RecordedAnswer {
    headers = List.copyOf(headers);
  }

  /**
   * Converts an answer and keeps its body inline.
   *
   * @param answer the answer of the target
   * @return the recorded form
   */
  static RecordedAnswer inline(StoredAnswer answer) {
    String body = Base64.getEncoder().encodeToString(answer.body().toByteArray());
    return new RecordedAnswer(answer.head().getStatus(), headers(answer), body, "");
  }

  /**
   * Converts an answer whose body is in the object store.
   *
   * @param answer the answer
   * @param object the key of the body in the object store
   * @return the recorded form
   */
  static RecordedAnswer inObject(StoredAnswer answer, String object) {
    return new RecordedAnswer(answer.head().getStatus(), headers(answer), "", object);
  }

  /**
   * Converts this recorded answer back, with its inline body.
   *
   * @return the answer
   */
  StoredAnswer toAnswer() {
    return toAnswer(ByteString.copyFrom(Base64.getDecoder().decode(body)));
  }

  /**
   * Converts this recorded answer back, with a body from the object store.
   *
   * @param content the body
   * @return the answer
   */
  StoredAnswer toAnswer(ByteString content) {
    AnswerHead.Builder head = AnswerHead.newBuilder().setStatus(status);
    headers.forEach(
        header ->
            head.addHeaders(Header.newBuilder().setName(header.name()).setValue(header.value())));
    return new StoredAnswer(head.build(), content);
  }

  /**
   * Converts the headers of an answer.
   *
   * @param answer the answer of the target
   * @return the recorded form
   */
  private static List<RecordedHeader> headers(StoredAnswer answer) {
    return answer.head().getHeadersList().stream()
        .map(header -> new RecordedHeader(header.getName(), header.getValue()))
        .toList();
  }
}
