package io.lagoonseam.entry.resume;

import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.resume.ServiceWindow;
import io.lagoonseam.core.resume.StreamKey;
import io.lagoonseam.core.resume.StreamOrigin;
import io.lagoonseam.core.resume.StreamOriginSource;
import io.lagoonseam.core.resume.StreamOrigins;
import io.lagoonseam.core.resume.VersionHistory.Versions;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.wire.MessageTypes;
import io.lagoonseam.wire.StreamOriginMessages.Answer;
import io.lagoonseam.wire.StreamOriginMessages.Ask;
import io.lagoonseam.wire.StreamOriginMessages.Entry;
import io.lagoonseam.wire.StreamOriginMessages.Tell;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Remembers which software versions began the streams of this node, has some other nodes remember them too, and asks
 * those about a stream that this node does not know. Rendezvous hashing selects the nodes for each stream, so that the
 * messages of a node do not grow with the number of nodes. A stream that none of them knows began at the only version
 * that its service has had for longer than it may last, if there was only one. A node that is out of step does not
 * notice a new version, so the store has to confirm that, or all nodes that were asked. Not thread-safe: all calls and
 * callbacks run on one event loop.
 */
public final class StreamOriginExchange implements StreamOriginSource {

    /** The number of other nodes that remember a stream. */
    static final int COPIES = 3;

    /**
     * The number of nodes that are asked: more than remember a stream, since nodes may differ on which nodes there are,
     * and the next ones by rank remember it in place of those that do not answer.
     */
    static final int ASKED_NODES = 10;

    private static final long TELL_TIMEOUT_MILLIS = 300;
    private static final long ASK_TIMEOUT_MILLIS = 250;
    private static final long RELAYED_ASK_TIMEOUT_MILLIS = 500;

    /** How long a node that reaches too few others waits until it tries again, in milliseconds. */
    private static final long TELL_AGAIN_MILLIS = 500;

    /** The number of streams that are told again; beyond it, a node cut off from the others forgets to tell them. */
    private static final int MAX_UNTOLD = 2_000;

    /** The number of streams in one message when this node hands its memory over. */
    private static final int MAX_ENTRIES = 500;

    private final Environment environment;
    private final StreamOrigins origins = new StreamOrigins();
    private int untold;

    /** Runs a task later on the event loop. */
    @FunctionalInterface
    public interface Timers {

        /**
         * Runs a task later.
         *
         * @param delayMillis the delay, in milliseconds
         * @param task the task
         */
        void schedule(long delayMillis, Runnable task);
    }

    /**
     * What the exchange needs from its node.
     *
     * @param time the clocks
     * @param transport the transport between nodes
     * @param eventLoop runs the callbacks
     * @param timers runs tasks later
     * @param otherNodes returns the ids of the other nodes
     * @param knowsAllNodes returns whether all registered nodes are among them
     * @param observed returns the software versions that a service has had, complete only if its route has led nowhere
     *     else
     * @param registered reads the software versions that a service has now; empty if the store does not answer
     */
    public record Environment(
            TimeSource time,
            PeerTransport transport,
            Executor eventLoop,
            Timers timers,
            Supplier<List<String>> otherNodes,
            Supplier<Boolean> knowsAllNodes,
            Function<ServiceWindow, Versions> observed,
            Function<String, CompletionStage<Optional<Set<String>>>> registered) {}

    /**
     * What this node and others know of a stream.
     *
     * @param answer what they know together
     * @param confirmed whether other nodes were asked and all of them have answered
     */
    private record Search(Answer answer, boolean confirmed) {}

    /**
     * Creates an exchange that remembers nothing.
     *
     * @param environment what it needs from its node
     */
    public StreamOriginExchange(Environment environment) {
        this.environment = environment;
        environment.transport().register(MessageTypes.STREAM_ORIGIN, (sender, payload) -> {
            Tell.decode(payload).entries().forEach(this::remember);
            return CompletableFuture.completedFuture(new byte[0]);
        });
        environment
                .transport()
                .register(
                        MessageTypes.STREAM_ORIGIN_ASK,
                        (sender, payload) -> answer(Ask.decode(payload)).thenApply(Answer::encode));
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    private void remember(Entry entry) {
        long nowMillis = nowMillis();
        origins.remember(entry.stream(), entry.origin(), nowMillis + entry.lifetimeMillis(), nowMillis);
    }

    private List<String> ranked(StreamKey stream) {
        return Rendezvous.sortByRank(stream.role(), environment.otherNodes().get(), id -> id);
    }

    @Override
    public void began(StreamKey stream, StreamOrigin origin, long lifetimeMillis) {
        if (!stream.memorable() || origin.softwareVersion().isEmpty()) {
            return;
        }
        remember(new Entry(stream, origin, lifetimeMillis));
        new Telling(stream, COPIES).start();
    }

    /** Has other nodes remember one stream, by their rank, until enough have confirmed that. */
    private final class Telling {
        private final StreamKey stream;
        private final List<String> nodes;
        private final List<String> silent = new ArrayList<>();
        private int missing;
        private int next;
        private int unanswered;

        Telling(StreamKey stream, int missing) {
            this(stream, missing, ranked(stream));
        }

        Telling(StreamKey stream, int missing, List<String> nodes) {
            this.stream = stream;
            this.nodes = nodes;
            this.missing = Math.min(missing, nodes.size());
        }

        void start() {
            while (unanswered < missing && next < nodes.size()) {
                tell(nodes.get(next));
                next++;
            }
            if (unanswered == 0 && missing > 0) {
                tellAgain();
            }
        }

        private void tell(String node) {
            Optional<Entry> entry = entry(stream);
            if (entry.isEmpty()) {
                return;
            }
            unanswered++;
            environment
                    .transport()
                    .request(
                            node,
                            MessageTypes.STREAM_ORIGIN,
                            new Tell(List.of(entry.get())).encode(),
                            TELL_TIMEOUT_MILLIS)
                    .thenAccept(reply -> environment.eventLoop().execute(() -> onReply(node, reply)));
        }

        private void onReply(String node, PeerReply reply) {
            unanswered--;
            if (reply instanceof PeerReply.Answered) {
                missing--;
            } else {
                silent.add(node);
            }
            start();
        }

        private void tellAgain() {
            if (entry(stream).isEmpty() || untold >= MAX_UNTOLD) {
                return;
            }
            untold++;
            environment.timers().schedule(TELL_AGAIN_MILLIS, () -> {
                untold--;
                new Telling(stream, missing, silent).start();
            });
        }
    }

    private Optional<Entry> entry(StreamKey stream) {
        long nowMillis = nowMillis();
        return origins.find(stream, nowMillis)
                .map(origin -> new Entry(stream, origin, origins.remainingMillis(stream, nowMillis)));
    }

    @Override
    public CompletionStage<Optional<StreamOrigin>> find(StreamKey stream, ServiceWindow window) {
        return search(stream, window, !environment.knowsAllNodes().get()).thenCompose(found -> {
            Optional<StreamOrigin> known =
                    found.answer().entries().stream().findFirst().map(Entry::origin);
            return known.isPresent() ? CompletableFuture.completedFuture(known) : onlyOrigin(window, found);
        });
    }

    /** Returns the only version that the service has had, if the store or all nodes that were asked confirm it. */
    private CompletionStage<Optional<StreamOrigin>> onlyOrigin(ServiceWindow window, Search found) {
        String only = found.answer().versions().only();
        if (only.isEmpty() || window.service().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        StreamOrigin origin = new StreamOrigin(window.service(), only);
        return environment.registered().apply(window.service()).thenApply(registered -> {
            boolean confirmed = registered
                    .map(versions -> Set.of(only).containsAll(versions))
                    .orElse(found.confirmed());
            return Optional.of(origin).filter(ignored -> confirmed);
        });
    }

    private Answer own(StreamKey stream, ServiceWindow window) {
        return new Answer(
                entry(stream).map(List::of).orElse(List.of()),
                environment.observed().apply(window));
    }

    /**
     * Returns what this node and the others know; as soon as one knows the stream, or when all have answered. The
     * versions are complete only if half of the nodes that were asked have answered: a node that is cut off from the
     * others and the store does not notice a new version.
     */
    private CompletionStage<Search> search(StreamKey stream, ServiceWindow window, boolean relayed) {
        Answer own = own(stream, window);
        List<String> nodes = ranked(stream);
        if (!own.entries().isEmpty()) {
            return CompletableFuture.completedFuture(new Search(own, true));
        }
        if (nodes.isEmpty()) {
            boolean alone = environment.knowsAllNodes().get();
            return CompletableFuture.completedFuture(new Search(alone ? own : own.withoutAllVersions(), false));
        }
        CompletableFuture<Search> found = new CompletableFuture<>();
        List<String> asked = nodes.subList(0, Math.min(ASKED_NODES, nodes.size()));
        int[] unanswered = {asked.size()};
        int[] answers = {0};
        Versions[] versions = {own.versions()};
        byte[] ask = new Ask(stream, window, relayed).encode();
        long timeoutMillis = relayed ? RELAYED_ASK_TIMEOUT_MILLIS : ASK_TIMEOUT_MILLIS;
        for (String node : asked) {
            environment
                    .transport()
                    .request(node, MessageTypes.STREAM_ORIGIN_ASK, ask, timeoutMillis)
                    .thenAccept(reply -> environment.eventLoop().execute(() -> {
                        unanswered[0]--;
                        decode(reply).ifPresent(answer -> {
                            answer.entries().forEach(this::remember);
                            versions[0] = versions[0].plus(answer.versions());
                            answers[0]++;
                        });
                        if (entry(stream).isPresent() || unanswered[0] == 0) {
                            Answer all = new Answer(entry(stream).map(List::of).orElse(List.of()), versions[0]);
                            boolean half = 2 * answers[0] >= asked.size();
                            found.complete(
                                    new Search(half ? all : all.withoutAllVersions(), answers[0] == asked.size()));
                        }
                    }));
        }
        return found;
    }

    /** Returns what a node knows, empty if it has not answered, or with a message that cannot be read. */
    private static Optional<Answer> decode(PeerReply reply) {
        try {
            return reply instanceof PeerReply.Answered answered
                    ? Optional.of(Answer.decode(answered.payload()))
                    : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private CompletionStage<Answer> answer(Ask ask) {
        return ask.relayed()
                ? search(ask.stream(), ask.window(), false).thenApply(Search::answer)
                : CompletableFuture.completedFuture(own(ask.stream(), ask.window()));
    }

    /** Has other nodes remember all streams that this node remembers, since it is about to stop. */
    public void handOver() {
        Map<String, List<Entry>> entriesByNode = new HashMap<>();
        origins.forEach(nowMillis(), (stream, origin) -> {
            List<String> nodes = ranked(stream);
            for (String node : nodes.subList(0, Math.min(COPIES, nodes.size()))) {
                entry(stream)
                        .ifPresent(entry -> entriesByNode
                                .computeIfAbsent(node, id -> new ArrayList<>())
                                .add(entry));
            }
        });
        entriesByNode.forEach((node, entries) -> {
            for (int from = 0; from < entries.size(); from += MAX_ENTRIES) {
                List<Entry> part = entries.subList(from, Math.min(entries.size(), from + MAX_ENTRIES));
                environment
                        .transport()
                        .request(node, MessageTypes.STREAM_ORIGIN, new Tell(part).encode(), TELL_TIMEOUT_MILLIS);
            }
        });
    }

    /** Forgets streams that can no longer be taken up; called several times a second. */
    public void expire() {
        origins.expire(nowMillis());
    }

    /**
     * Returns the number of streams that this node remembers.
     *
     * @return the number
     */
    public int size() {
        return origins.size();
    }
}
