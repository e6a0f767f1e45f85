package org.almondslip.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;

/**
 * Frame decoder that rejects a frame by its length prefix, before the content is buffered.
 *
 * <p>The limit is much lower until the peer is authenticated, so that an unauthenticated peer
 * cannot make the process buffer megabytes.
 */
final class BoundedFrameDecoder extends ProtobufVarint32FrameDecoder {

  /** Maximum size of a frame before the handshake has completed. */
  private static final int MAX_HANDSHAKE_FRAME_BYTES = 4 << 10;

  /** Maximum size of a varint length prefix. */
  private static final int MAX_PREFIX_BYTES = 5;

  /** Number of payload bits in a byte of a varint. */
  private static final int VARINT_PAYLOAD_BITS = 7;

  private int maxFrameBytes = MAX_HANDSHAKE_FRAME_BYTES;

  /**
   * Raises the limit after the peer is authenticated.
   *
   * @param maxFrameBytes the maximum size of a frame, in bytes
   */
  void raiseLimit(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    long length = peekLength(in);
    if (length > maxFrameBytes) {
      throw new TooLongFrameException(
          "frame of " + length + " bytes exceeds the limit of " + maxFrameBytes);
    }
    super.decode(ctx, in, out);
  }

  /**
   * Reads the length prefix without consuming it.
   *
   * @param in the received bytes
   * @return the length in bytes, or 0 if the prefix is incomplete
   */
  private static long peekLength(ByteBuf in) {
    long length = 0;
    int available = Math.min(MAX_PREFIX_BYTES, in.readableBytes());
    for (int i = 0; i < available; i++) {
      byte b = in.getByte(in.readerIndex() + i);
      length |= (long) (b & 0x7f) << (VARINT_PAYLOAD_BITS * i);
      if (b >= 0) {
        return length;
      }
    }
    return 0;
  }
}
