package org.almondslip.protocol;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Hello;
import org.almondslip.protocol.wire.Proof;

/**
 * Mutual proof of the shared secret.
 *
 * <p>Each side signs both nonces, its identity and its side of the connection. The side keeps a
 * proof from being reflected to its sender.
 */
final class Handshake {

  /** Version of the inner protocol; peers with another version are refused. */
  static final int PROTOCOL_VERSION = 1;

  /** Size of a nonce in bytes. */
  static final int NONCE_BYTES = 16;

  /** Name of the keyed hash. */
  private static final String ALGORITHM = "HmacSHA256";

  /** Source of nonces. */
  private static final SecureRandom RANDOM = new SecureRandom();

  /** Shared secret as a key. */
  private final SecretKeySpec key;

  /** Whether this process opened the connection. */
  private final boolean dialler;

  /** First frame of this process. */
  private final Hello own;

  /**
   * Creates the handshake of one connection.
   *
   * @param secret the secret that all processes of the fleet share
   * @param identity this process
   * @param dialler whether this process opened the connection
   */
  Handshake(String secret, PeerIdentity identity, boolean dialler) {
    this.key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    this.dialler = dialler;
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    this.own = toHello(identity, nonce);
  }

  /**
   * Returns the first frame of this process.
   *
   * @return the frame
   */
  Hello hello() {
    return own;
  }

  /**
   * Builds the proof of this process.
   *
   * @param peer the first frame of the peer
   * @return the proof
   */
  Proof prove(Hello peer) {
    byte[] mac = mac(own, peer, dialler);
    return Proof.newBuilder().setMac(ByteString.copyFrom(mac)).build();
  }

  /**
   * Checks the proof of the peer in constant time.
   *
   * @param peer the first frame of the peer
   * @param proof its proof
   * @return true when the peer knows the secret
   */
  boolean verify(Hello peer, Proof proof) {
    return MessageDigest.isEqual(mac(peer, own, !dialler), proof.getMac().toByteArray());
  }

  /**
   * Reads the identity of a peer out of its first frame.
   *
   * @param hello the frame
   * @return the identity
   */
  static PeerIdentity toIdentity(Hello hello) {
    return new PeerIdentity(
        hello.getInstanceId(),
        hello.getIncarnation(),
        hello.getRole(),
        hello.getRegion(),
        hello.getDataCentre(),
        hello.getInnerAddress(),
        hello.getTarget());
  }

  /**
   * Builds the first frame of a connection.
   *
   * @param identity this process
   * @param nonce random bytes that the peer must sign
   * @return the frame
   */
  private static Hello toHello(PeerIdentity identity, byte[] nonce) {
    return Hello.newBuilder()
        .setProtocolVersion(PROTOCOL_VERSION)
        .setInstanceId(identity.instanceId())
        .setIncarnation(identity.incarnation())
        .setRole(identity.role())
        .setRegion(identity.region())
        .setDataCentre(identity.dataCentre())
        .setInnerAddress(identity.innerAddress())
        .setTarget(identity.target())
        .setNonce(ByteString.copyFrom(nonce))
        .build();
  }

  /**
   * Signs a handshake.
   *
   * @param signer the first frame of the signing side
   * @param other the first frame of the other side
   * @param signerDialled whether the signing side opened the connection
   * @return the signature
   */
  private byte[] mac(Hello signer, Hello other, boolean signerDialled) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update((byte) (signerDialled ? 1 : 0));
      update(mac, signer.toByteArray());
      update(mac, other.toByteArray());
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(ALGORITHM + " is not available", e);
    }
  }

  /**
   * Adds a field with its length, so that fields cannot be shifted into each other.
   *
   * @param mac the running signature
   * @param field the field
   */
  private static void update(Mac mac, byte[] field) {
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
    mac.update(field);
  }
}
