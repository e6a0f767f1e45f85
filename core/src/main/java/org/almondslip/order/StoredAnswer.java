package org.almondslip.order;

import com.google.protobuf.ByteString;
import org.almondslip.protocol.wire.AnswerHead;

/**
 * Complete answer of a target.
 *
 * @param head the HTTP status and headers
 * @param body the body
 */
public record StoredAnswer(AnswerHead head, ByteString body) {}
