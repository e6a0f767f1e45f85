package org.almondslip.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;

/**
 * Frame decoder that refuses a frame by its length prefix, before its bytes are buffered.
 *
 * <p>Peers that have not proved the shared secret get a much smaller limit, so that a stranger
 * cannot make the process buffer megabytes.
 */
final class BoundedFrameDecoder extends ProtobufVarint32FrameDecoder {

  /** Largest frame before the handshake has finished, in bytes. */
  private static final int HANDSHAKE_LIMIT = 4 << 10;

  /** Largest number of bytes in a varint length prefix. */
  private static final int PREFIX_BYTES = 5;

  /** Payload bits in one byte of a varint. */
  private static final int BITS = 7;

  /** Largest frame that is accepted now, in bytes. */
  private int limit = HANDSHAKE_LIMIT;

  /**
   * Raises the limit once the peer is known.
   *
   * @param limit the largest frame to accept, in bytes
   */
  void raiseLimit(int limit) {
    this.limit = limit;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    long length = peekLength(in);
    if (length > limit) {
      throw new TooLongFrameException("frame of " + length + " bytes exceeds " + limit);
    }
    super.decode(ctx, in, out);
  }

  /**
   * Reads the length prefix without consuming it.
   *
   * @param in the received bytes
   * @return the length, or 0 when the prefix is not complete
   */
  private static long peekLength(ByteBuf in) {
    long length = 0;
    int available = Math.min(PREFIX_BYTES, in.readableBytes());
    for (int i = 0; i < available; i++) {
      byte b = in.getByte(in.readerIndex() + i);
      length |= (long) (b & 0x7f) << (BITS * i);
      if (b >= 0) {
        return length;
      }
    }
    return 0;
  }
}
