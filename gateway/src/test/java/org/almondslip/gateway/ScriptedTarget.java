package org.almondslip.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.almondslip.directory.TargetRecord;

/** Target that reads requests byte by byte and answers with given bytes. */
final class ScriptedTarget implements AutoCloseable {

  /** Listening socket. */
  private final ServerSocket server;

  /** Answer to the request with the number of its arrival, counted from 0. */
  private final Script script;

  /** Heads of the requests in the order of their arrival. */
  private final List<String> requests = new CopyOnWriteArrayList<>();

  /** Open connections. */
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  /** Number of connections that the router has closed. */
  private volatile int closed;

  /** What the target does with a request. */
  interface Script {

    /**
     * Answers a request.
     *
     * @param number the number of the request
     * @param socket the connection; closing it ends the answer
     * @throws IOException when the connection fails
     */
    void answer(int number, Socket socket) throws IOException;
  }

  /**
   * Starts a target.
   *
   * @param script what it does
   * @throws IOException when no port can be bound
   */
  ScriptedTarget(Script script) throws IOException {
    this.script = script;
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  /**
   * Returns the entry of the target.
   *
   * @param id its id
   * @return the entry
   */
  TargetRecord record(String id) {
    return new TargetRecord(
        id, "s", "127.0.0.1", server.getLocalPort(), "dc", 4, TargetRecord.State.READY, 0, 1);
  }

  /**
   * Returns the heads of the requests.
   *
   * @return the heads in lower case
   */
  List<String> requests() {
    return requests;
  }

  /**
   * Returns the number of connections that the router has closed.
   *
   * @return the number
   */
  int closed() {
    return closed;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Accepts connections. */
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

  /**
   * Answers the requests of a connection.
   *
   * @param socket the connection
   */
  private void serve(Socket socket) {
    try {
      InputStream in = socket.getInputStream();
      while (true) {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
          int next = in.read();
          if (next < 0) {
            closed++;
            return;
          }
          head.append((char) next);
        }
        int length = length(head.toString());
        in.readNBytes(length);
        requests.add(head.toString().toLowerCase(java.util.Locale.ROOT));
        script.answer(requests.size() - 1, socket);
      }
    } catch (IOException e) {
      closed++;
    }
  }

  /**
   * Returns the length of a body.
   *
   * @param head the head of the request
   * @return the length in bytes
   */
  private static int length(String head) {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
        return Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
    }
    return 0;
  }

  /**
   * Writes text to a connection.
   *
   * @param socket the connection
   * @param text the text
   * @throws IOException when the connection fails
   */
  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /**
   * Starts a daemon thread.
   *
   * @param task what it runs
   */
  private static void start(Runnable task) {
    Thread thread = new Thread(task, "target");
    thread.setDaemon(true);
    thread.start();
  }
}
