package org.almondslip.review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Worker with a listening socket; a handler answers its requests. */
public final class Worker implements AutoCloseable {

  /** Answers requests. */
  public interface Handler {

    /** Answers a request; an exception ends the connection. */
    void handle(Worker worker, Http.Head request, byte[] body, Socket connection)
        throws IOException, InterruptedException;
  }

  private final String id;

  private final String service;

  private final Handler handler;

  private final int port;

  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  private volatile ServerSocket server;

  private volatile long born;

  /** Starts a worker. */
  public Worker(String id, String service, Handler handler) throws IOException {
    this.id = id;
    this.service = service;
    this.handler = handler;
    listen(0);
    this.port = server.getLocalPort();
  }

  private void listen(int at) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), at), 500);
    born = System.currentTimeMillis();
    server = socket;
    thread(() -> accept(socket));
  }

  private static void thread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept(ServerSocket socket) {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        thread(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        byte[] body = Http.readBody(in, head);
        if (!head.get("almondslip-expect-instance").isEmpty()
            && !head.get("almondslip-expect-instance").equals(id)) {
          answer(connection, head, 421, "Almondslip-Not-Executed: 1\r\n", "");
        } else {
          handler.handle(this, head, body, connection);
        }
      }
    } catch (IOException | InterruptedException e) {
      // The other side has closed the connection, or this worker has crashed.
    } finally {
      connections.remove(connection);
    }
  }

  /** Sends a complete answer that echoes the id of the attempt. */
  public static void answer(
      Socket connection, Http.Head request, int status, String headers, String body)
      throws IOException {
    OutputStream out = connection.getOutputStream();
    out.write(
        ("HTTP/1.1 "
                + status
                + " X\r\nAlmondslip-Attempt-Id: "
                + request.get("almondslip-attempt-id")
                + "\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body)
            .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Ends as a crashed process does: all its connections are reset and nothing listens. */
  public void crash() throws IOException {
    server.close();
    for (Socket connection : connections) {
      try {
        connection.setSoLinger(true, 0);
        connection.close();
      } catch (SocketException e) {
        // It was closed by the other side.
      }
    }
    connections.clear();
  }

  /** Starts again at the same address under the same id. */
  public void restart() throws IOException {
    listen(port);
  }

  /** Returns the id. */
  public String id() {
    return id;
  }

  /** Returns the entry in the table of workers. */
  public String entry(String state, long sequence) {
    return String.format(
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\",\"version\":\"v1\","
            + "\"batch_slots\":64,\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":%d,"
            + "\"born\":%d}",
        service, port, state, sequence, born);
  }

  @Override
  public void close() throws IOException {
    crash();
  }
}
