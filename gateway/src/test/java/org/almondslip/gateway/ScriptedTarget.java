package org.almondslip.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.almondslip.directory.TargetRecord;

/** Target that reads requests and writes the raw bytes of a scripted response. */
final class ScriptedTarget implements AutoCloseable {

  /** Receive buffer of a target that reads nothing, so that the kernel holds little. */
  private static final int DEAF_RECEIVE_BYTES = 4_096;

  private final ServerSocket server;

  private final Script script;

  /** Request heads in lower case, in the order of their arrival. */
  private final List<String> requests = new CopyOnWriteArrayList<>();

  /** All accepted connections. */
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  /** Whether the body of a request is read before the response. */
  private boolean readsBodies = true;

  private volatile int closedConnections;

  /** Writes the response to a request. */
  interface Script {

    /**
     * Responds to a request.
     *
     * @param number the number of the request, counted from 0
     * @param socket the connection, which the script may close
     * @throws IOException if the connection fails
     */
    void respond(int number, Socket socket) throws IOException;
  }

  /**
   * Starts a target.
   *
   * @param script writes the responses
   * @throws IOException if no port can be bound
   */
  ScriptedTarget(Script script) throws IOException {
    this.script = script;
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  /** Creates a target with a small receive buffer, which accepts no connections yet. */
  private ScriptedTarget(Script script, int receiveBytes) throws IOException {
    this.script = script;
    this.server = new ServerSocket();
    server.setReceiveBufferSize(receiveBytes);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
  }

  /**
   * Starts a target that responds to the head of a request and does not read the body.
   *
   * @param script writes the responses
   * @throws IOException if no port can be bound
   */
  static ScriptedTarget early(Script script) throws IOException {
    ScriptedTarget target = new ScriptedTarget(script, DEAF_RECEIVE_BYTES);
    target.readsBodies = false;
    start(target::accept);
    return target;
  }

  /**
   * Starts a target whose connections are established and that reads nothing.
   *
   * @throws IOException if no port can be bound
   */
  static ScriptedTarget deaf() throws IOException {
    return new ScriptedTarget((number, socket) -> {}, DEAF_RECEIVE_BYTES);
  }

  /** Returns the directory entry of the target. */
  TargetRecord record(String id) {
    return new TargetRecord(
        id, "s", "127.0.0.1", server.getLocalPort(), "dc", 4, TargetRecord.State.READY, 0, 1);
  }

  /** Returns the directory entry of the target in a data centre of a region. */
  TargetRecord record(String id, String dataCentre, String region) {
    return new TargetRecord(
        id,
        "s",
        "127.0.0.1",
        server.getLocalPort(),
        dataCentre,
        region,
        4,
        TargetRecord.State.READY,
        0,
        0,
        1);
  }

  /** Returns the request heads in lower case, in the order of their arrival. */
  List<String> requests() {
    return requests;
  }

  /** Returns the number of accepted connections. */
  int connections() {
    return sockets.size();
  }

  /** Returns the number of connections that the router has closed. */
  int closedConnections() {
    return closedConnections;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        sockets.add(socket);
        start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The target was closed.
    }
  }

  private void serve(Socket socket) {
    try {
      InputStream in = socket.getInputStream();
      while (true) {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
          int next = in.read();
          if (next < 0) {
            closedConnections++;
            return;
          }
          head.append((char) next);
        }
        int length = contentLength(head.toString());
        if (readsBodies) {
          in.readNBytes(length);
        }
        requests.add(head.toString().toLowerCase(java.util.Locale.ROOT));
        script.respond(requests.size() - 1, socket);
      }
    } catch (IOException e) {
      closedConnections++;
    }
  }

  /** Returns the Content-Length of a request in bytes, 0 when it is missing. */
  private static int contentLength(String head) {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
        return Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
    }
    return 0;
  }

  /** Writes text to a connection in ISO-8859-1. */
  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "target");
    thread.setDaemon(true);
    thread.start();
  }
}
