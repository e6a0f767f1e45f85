package org.almondslip.order;

import com.google.protobuf.ByteString;
import java.util.Base64;
import java.util.List;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Header;

/**
 * Answer of a target as a claim record holds it.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body in Base64; empty when it is in the object store
 * @param object the key of the body in the object store, empty when it is inline
 */
public record RecordedAnswer(int status, List<RecordedHeader> headers, String body, String object) {

  /**
   * A header.
   *
   * @param name the name
   * @param value the value
   */
  public record RecordedHeader(String name, String value) {}

  /**
   * Copies the list.
   *
   * @param status the HTTP status
   * @param headers the headers
   * @param body the body in Base64; empty when it is in the object store
   * @param object the key of the body in the object store, empty when it is inline
   */
  public RecordedAnswer {
    headers = List.copyOf(headers);
  }

  /**
   * Creates an answer with its body inline.
   *
   * @param answer the answer
   * @return the recorded form
   */
  static RecordedAnswer inline(StoredAnswer answer) {
    String body = Base64.getEncoder().encodeToString(answer.body().toByteArray());
    return new RecordedAnswer(answer.head().getStatus(), headers(answer), body, "");
  }

  /**
   * Creates an answer whose body is in the object store.
   *
   * @param answer the answer
   * @param object the key of the body
   * @return the recorded form
   */
  static RecordedAnswer inObject(StoredAnswer answer, String object) {
    return new RecordedAnswer(answer.head().getStatus(), headers(answer), "", object);
  }

  /**
   * Returns the answer with its inline body.
   *
   * @return the answer
   */
  StoredAnswer toAnswer() {
    return toAnswer(ByteString.copyFrom(Base64.getDecoder().decode(body)));
  }

  /**
   * Returns the answer with a body from the object store.
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
   * @param answer the answer
   * @return the recorded form
   */
  private static List<RecordedHeader> headers(StoredAnswer answer) {
    return answer.head().getHeadersList().stream()
        .map(header -> new RecordedHeader(header.getName(), header.getValue()))
        .toList();
  }
}
