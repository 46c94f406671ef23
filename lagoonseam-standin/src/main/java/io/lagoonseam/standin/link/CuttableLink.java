package io.lagoonseam.standin.link;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards the TCP connections of one party to the address of another, and can cut them off. Thread-safe. */
public final class CuttableLink implements AutoCloseable {

    private static final int BUFFER_BYTES = 16_384;
    private static final int BACKLOG = 128;
    private static final long BIND_POLL_MILLIS = 5;
    private static final int MAX_BIND_ATTEMPTS = 400;

    /** One more connection than this completes its handshake without being accepted; the next ones get no answer. */
    private static final int FULL_BACKLOG = 1;

    private final String host;
    private final int targetPort;
    private final int port;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<Socket> backlogFillers = new ArrayList<>();
    private final Object gate = new Object();
    private ServerSocket listener;
    private Cut cut = Cut.NONE;
    private boolean closed;

    /** The ways in which a link fails. */
    public enum Cut {
        /** It does not fail. */
        NONE,
        /** No packet arrives: open connections hang, new ones get no answer. What was sent arrives after the cut. */
        SILENT,
        /** Open connections are reset, new ones refused. */
        RESET,
        /** Open connections go on, new ones are refused. */
        REFUSE
    }

    /**
     * Creates a link that listens.
     *
     * @param host the IP address of the target, on which the link listens too
     * @param port the port to listen on, which no other connection may occupy while the link is cut
     * @param targetPort the port of the target
     */
    public CuttableLink(String host, int port, int targetPort) {
        this.host = host;
        this.port = port;
        this.targetPort = targetPort;
        this.listener = bind(BACKLOG);
        startAccepting(listener);
    }

    /**
     * Returns the port that stands for the target.
     *
     * @return the port
     */
    public int port() {
        return port;
    }

    private ServerSocket bind(int backlog) {
        for (int attempt = 1; attempt < MAX_BIND_ATTEMPTS; attempt++) {
            try {
                return listen(backlog);
            } catch (IOException e) {
                // connections of the listener before may still be closing
                pause();
            }
        }
        try {
            return listen(backlog);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private ServerSocket listen(int backlog) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(host, port), backlog);
        return socket;
    }

    private static void pause() {
        try {
            Thread.sleep(BIND_POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "link");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Cuts the link in a way, or ends the cut. Takes effect before this returns.
     *
     * @param value how it fails from now on
     */
    public void cut(Cut value) {
        synchronized (gate) {
            if (cut == value || closed) {
                return;
            }
            cut = value;
            closeQuietly(listener);
            backlogFillers.forEach(CuttableLink::closeQuietly);
            backlogFillers.clear();
            switch (value) {
                case NONE -> {
                    listener = bind(BACKLOG);
                    startAccepting(listener);
                }
                case SILENT -> {
                    listener = bind(FULL_BACKLOG);
                    fillBacklog();
                }
                case RESET -> {
                    sockets.forEach(CuttableLink::reset);
                    sockets.clear();
                }
                case REFUSE -> {
                    // without a listener new connections are refused
                }
            }
            gate.notifyAll();
        }
    }

    private void fillBacklog() {
        for (int index = 0; index <= FULL_BACKLOG; index++) {
            try {
                backlogFillers.add(new Socket(host, port));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private void startAccepting(ServerSocket from) {
        startThread(() -> {
            while (true) {
                try {
                    connect(from.accept());
                } catch (IOException e) {
                    // the listener was closed
                    return;
                }
            }
        });
    }

    private void connect(Socket near) throws IOException {
        Socket far;
        try {
            far = new Socket(host, targetPort);
        } catch (IOException e) {
            reset(near);
            return;
        }
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        synchronized (gate) {
            if (closed || cut == Cut.RESET) {
                reset(near);
                reset(far);
                return;
            }
            sockets.add(near);
            sockets.add(far);
        }
        startThread(() -> pump(near, far));
        startThread(() -> pump(far, near));
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            int count = from.getInputStream().read(buffer);
            while (count >= 0) {
                awaitPassage();
                to.getOutputStream().write(buffer, 0, count);
                count = from.getInputStream().read(buffer);
            }
            awaitPassage();
            to.shutdownOutput();
            if (from.isOutputShutdown()) {
                release(from, to);
            }
        } catch (IOException e) {
            awaitPassage();
            reset(from);
            reset(to);
            release(from, to);
        }
    }

    private void release(Socket one, Socket other) {
        closeQuietly(one);
        closeQuietly(other);
        sockets.remove(one);
        sockets.remove(other);
    }

    private void awaitPassage() {
        synchronized (gate) {
            while (cut == Cut.SILENT && !closed) {
                try {
                    gate.wait();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    throw new IllegalStateException(e);
                }
            }
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (SocketException e) {
            // the other direction has closed it
            return;
        }
        closeQuietly(socket);
    }

    private static void closeQuietly(AutoCloseable socket) {
        try {
            socket.close();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        synchronized (gate) {
            closed = true;
            closeQuietly(listener);
            backlogFillers.forEach(CuttableLink::closeQuietly);
            sockets.forEach(CuttableLink::reset);
            gate.notifyAll();
        }
    }
}
