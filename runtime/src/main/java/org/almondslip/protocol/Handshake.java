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
 * Mutual authentication by a shared secret.
 *
 * <p>Each side proves the secret by an HMAC over the hello frames of both sides, which contain
 * their nonces and identities, and over its own role as initiator or acceptor of the connection.
 * The role prevents a peer from returning a proof to its sender.
 */
final class Handshake {

  /** Version of the inner protocol; peers with another version are rejected. */
  static final int PROTOCOL_VERSION = 1;

  static final int NONCE_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private static final SecureRandom RANDOM = new SecureRandom();

  private final SecretKeySpec key;

  private final boolean initiator;

  private final Hello localHello;

  /**
   * Creates the handshake of one connection.
   *
   * @param secret the secret that is shared by all processes of the fleet
   * @param identity the identity of this process
   * @param initiator whether this process opened the connection
   */
  Handshake(String secret, PeerIdentity identity, boolean initiator) {
    this.key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    this.initiator = initiator;
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    this.localHello = toHello(identity, nonce);
  }

  /**
   * Returns the hello frame of this process.
   *
   * @return the frame
   */
  Hello hello() {
    return localHello;
  }

  /**
   * Creates the proof of this process.
   *
   * @param peer the hello frame of the peer
   * @return the proof
   */
  Proof prove(Hello peer) {
    byte[] mac = mac(localHello, peer, initiator);
    return Proof.newBuilder().setMac(ByteString.copyFrom(mac)).build();
  }

  /**
   * Verifies the proof of the peer in constant time.
   *
   * @param peer the hello frame of the peer
   * @param proof the proof of the peer
   * @return true if the proof was created with the shared secret
   */
  boolean verify(Hello peer, Proof proof) {
    return MessageDigest.isEqual(mac(peer, localHello, !initiator), proof.getMac().toByteArray());
  }

  /**
   * Extracts the identity of a peer from its hello frame.
   *
   * @param hello the frame
   * @return the identity, which is unverified until the proof of the peer is
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
   * Creates a hello frame.
   *
   * @param identity the identity of this process
   * @param nonce random bytes that the peer must include in its proof
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
   * Computes the HMAC of one side.
   *
   * @param signer the hello frame of the signing side
   * @param other the hello frame of the other side
   * @param signerIsInitiator whether the signing side opened the connection
   * @return the HMAC
   */
  private byte[] mac(Hello signer, Hello other, boolean signerIsInitiator) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update((byte) (signerIsInitiator ? 1 : 0));
      updateWithLength(mac, signer.toByteArray());
      updateWithLength(mac, other.toByteArray());
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(ALGORITHM + " is not available", e);
    }
  }

  /**
   * Adds a field preceded by its length, so that bytes cannot be moved from one field to the next.
   *
   * @param mac the HMAC to update
   * @param field the field
   */
  private static void updateWithLength(Mac mac, byte[] field) {
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
    mac.update(field);
  }
}
