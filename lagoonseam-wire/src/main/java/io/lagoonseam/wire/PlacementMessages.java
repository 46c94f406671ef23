package io.lagoonseam.wire;

import io.lagoonseam.core.forward.Lane;
import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.core.forward.PromptShape;
import io.lagoonseam.core.forward.WorkerLoad;
import io.lagoonseam.core.placement.PlacementDecision;
import io.lagoonseam.core.ratelimit.LimitReport;
import java.util.Iterator;
import java.util.List;

/**
 * The messages between the nodes that forward requests and the home of a service. Each begins with its format version.
 */
public final class PlacementMessages {

    private static final int VERSION = 3;

    private static final int GRANTED = 0;
    private static final int QUEUED = 1;
    private static final int REFUSED = 2;

    private PlacementMessages() {}

    /**
     * A request for which a worker is asked. Times are durations, since the clocks of nodes differ.
     *
     * @param number identifies the attempt at its node
     * @param priority the priority of the request; 0 is the most urgent
     * @param prompt the shape of its prompt
     * @param lane its lane
     * @param objectiveMillis its latency objective, in milliseconds
     * @param objectiveLeftMillis the remaining time of the objective, in milliseconds
     * @param waitMillis the longest time that it may wait at the home, in milliseconds
     * @param triedWorkers the ids of the workers that it was sent to before
     * @param softwareVersion the version of the software of the only workers that may be chosen, empty if each may be
     * @param answerTokens the tokens that its answer may have; 0 if unknown, as from nodes of an earlier version
     * @param leftMillis the time until its caller leaves, in milliseconds
     */
    public record Ask(
            long number,
            int priority,
            PromptShape prompt,
            Lane lane,
            long objectiveMillis,
            long objectiveLeftMillis,
            long waitMillis,
            List<String> triedWorkers,
            String softwareVersion,
            int answerTokens,
            long leftMillis) {

        /** Copies the list. */
        public Ask {
            triedWorkers = List.copyOf(triedWorkers);
        }

        private static void write(MessageWriter writer, Ask ask) {
            writer.number(ask.number)
                    .number(ask.priority)
                    .number(ask.prompt.prefixHash())
                    .number(ask.prompt.prefixTokens())
                    .number(ask.prompt.tokens())
                    .number(ask.lane.ordinal())
                    .number(ask.objectiveMillis)
                    .number(ask.objectiveLeftMillis)
                    .number(ask.waitMillis)
                    .list(ask.triedWorkers)
                    .text(ask.softwareVersion);
        }

        private static Ask read(MessageReader reader) {
            return new Ask(
                    reader.number(),
                    (int) reader.number(),
                    new PromptShape(reader.number(), (int) reader.number(), (int) reader.number()),
                    reader.constant(Lane.values()),
                    reader.number(),
                    reader.number(),
                    reader.number(),
                    reader.list(),
                    reader.text(),
                    0,
                    0);
        }

        private static void writeAnswer(MessageWriter writer, Ask ask) {
            writer.number(ask.answerTokens).number(ask.leftMillis);
        }

        private Ask readAnswer(MessageReader reader) {
            return new Ask(
                    number,
                    priority,
                    prompt,
                    lane,
                    objectiveMillis,
                    objectiveLeftMillis,
                    waitMillis,
                    triedWorkers,
                    softwareVersion,
                    (int) reader.number(),
                    reader.number());
        }

        /** Adds what nodes of an earlier version neither send nor read: it stands at the end of a batch. */
        private static List<Ask> withAnswers(List<Ask> asks, MessageReader reader) {
            if (!reader.hasMore()) {
                return asks;
            }
            Iterator<Ask> left = asks.iterator();
            List<Ask> complete =
                    reader.items(item -> left.hasNext() ? left.next().readAnswer(item) : null);
            if (complete.size() != asks.size()) {
                throw new IllegalArgumentException("malformed message: " + complete.size() + " answers");
            }
            return complete;
        }
    }

    /**
     * A request in flight that the home has not placed itself.
     *
     * @param number identifies the attempt at its node
     * @param workerId the id of its worker
     * @param prefixHash its prefix hash, 0 without a shared prefix
     * @param promptTokens the tokens of its prompt
     * @param unreadTokens the prompt tokens that the worker has not read yet
     */
    public record Placed(long number, String workerId, long prefixHash, long promptTokens, long unreadTokens) {

        private static void write(MessageWriter writer, Placed placed) {
            writer.number(placed.number)
                    .text(placed.workerId)
                    .number(placed.prefixHash)
                    .number(placed.promptTokens)
                    .number(placed.unreadTokens);
        }

        private static Placed read(MessageReader reader) {
            return new Placed(reader.number(), reader.text(), reader.number(), reader.number(), reader.number());
        }
    }

    /**
     * The first event of a request.
     *
     * @param number identifies the attempt at its node
     * @param afterMillis the time from sending the request to the event, in milliseconds
     */
    public record FirstEvent(long number, long afterMillis) {}

    /**
     * The outcome of an attempt.
     *
     * @param workerId the id of the worker
     * @param outcome the outcome
     */
    public record Outcome(String workerId, OutlierDetector.Outcome outcome) {}

    /**
     * The load that a worker reported in an answer.
     *
     * @param workerId the id of the worker
     * @param load its load
     */
    public record Load(String workerId, WorkerLoad load) {}

    /**
     * What a node has to say to the home of a service; answered by {@link Decisions} about the requests asked for.
     *
     * @param service the name of the service
     * @param dataCentre the data centre of the node
     * @param servedBefore whether a home has placed requests of the node for this service before
     * @param complete whether {@code placed} lists all requests of the node in flight for this service, so that the
     *     home can forget others
     * @param asks the requests for which a worker is asked
     * @param placed requests in flight that the home does not know
     * @param firstEvents the first events since the last batch
     * @param ended the numbers of the attempts that have ended, or no longer need a worker
     * @param outcomes the outcomes of attempts since the last batch
     * @param loads the loads that workers reported since the last batch
     * @param limits the rate limits of workers that have changed since the last batch
     */
    public record Batch(
            String service,
            String dataCentre,
            boolean servedBefore,
            boolean complete,
            List<Ask> asks,
            List<Placed> placed,
            List<FirstEvent> firstEvents,
            List<Long> ended,
            List<Outcome> outcomes,
            List<Load> loads,
            List<LimitReport> limits) {

        /** Copies the lists. */
        public Batch {
            asks = List.copyOf(asks);
            placed = List.copyOf(placed);
            firstEvents = List.copyOf(firstEvents);
            ended = List.copyOf(ended);
            outcomes = List.copyOf(outcomes);
            loads = List.copyOf(loads);
            limits = List.copyOf(limits);
        }

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .text(service)
                    .text(dataCentre)
                    .flag(servedBefore)
                    .flag(complete)
                    .items(asks, Ask::write)
                    .items(placed, Placed::write)
                    .items(
                            firstEvents,
                            (writer, event) -> writer.number(event.number()).number(event.afterMillis()))
                    .items(ended, MessageWriter::number)
                    .items(
                            outcomes,
                            (writer, outcome) -> writer.text(outcome.workerId())
                                    .number(outcome.outcome().ordinal()))
                    .items(
                            loads,
                            (writer, load) -> writer.text(load.workerId())
                                    .number(load.load().running())
                                    .number(load.load().waiting()))
                    .items(limits, MessageWriter::limit)
                    .items(asks, Ask::writeAnswer)
                    .bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Batch decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            Batch batch = new Batch(
                    reader.text(),
                    reader.text(),
                    reader.flag(),
                    reader.flag(),
                    reader.items(Ask::read),
                    reader.items(Placed::read),
                    reader.items(item -> new FirstEvent(item.number(), item.number())),
                    reader.items(MessageReader::number),
                    reader.items(item -> new Outcome(item.text(), item.constant(OutlierDetector.Outcome.values()))),
                    reader.items(
                            item -> new Load(item.text(), new WorkerLoad((int) item.number(), (int) item.number()))),
                    reader.items(MessageReader::limit));
            return new Batch(
                    batch.service,
                    batch.dataCentre,
                    batch.servedBefore,
                    batch.complete,
                    Ask.withAnswers(batch.asks, reader),
                    batch.placed,
                    batch.firstEvents,
                    batch.ended,
                    batch.outcomes,
                    batch.loads,
                    batch.limits);
        }
    }

    /**
     * A decision of the home.
     *
     * @param number identifies the attempt at its node
     * @param decision the decision
     */
    public record Decided(long number, PlacementDecision decision) {

        private static void write(MessageWriter writer, Decided decided) {
            writer.number(decided.number);
            if (decided.decision instanceof PlacementDecision.Granted granted) {
                writer.number(GRANTED)
                        .text(granted.workerId())
                        .number(granted.unreadTokens())
                        .number(granted.tokensAhead())
                        .text(granted.copyFromId())
                        .flag(granted.permitted())
                        .text(granted.reason());
            } else if (decided.decision instanceof PlacementDecision.Refused refused) {
                writer.number(REFUSED).number(refused.backlogMillis()).text(refused.reason());
            } else {
                writer.number(QUEUED);
            }
        }

        private static Decided read(MessageReader reader) {
            return new Decided(reader.number(), readDecision(reader));
        }

        private static PlacementDecision readDecision(MessageReader reader) {
            long kind = reader.number();
            if (kind == GRANTED) {
                return new PlacementDecision.Granted(
                        reader.text(), reader.number(), reader.number(), reader.text(), reader.flag(), reader.text());
            }
            if (kind == REFUSED) {
                return new PlacementDecision.Refused(reader.number(), reader.text());
            }
            if (kind == QUEUED) {
                return new PlacementDecision.Queued();
            }
            throw new IllegalArgumentException("malformed message: decision " + kind);
        }
    }

    /**
     * Decisions of a home.
     *
     * @param service the name of the service
     * @param session the session of the home; another one than before means that it has lost its state. 0 if the node
     *     does not act as a home
     * @param decisions the decisions
     */
    public record Decisions(String service, long session, List<Decided> decisions) {

        /** Copies the list. */
        public Decisions {
            decisions = List.copyOf(decisions);
        }

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .text(service)
                    .number(session)
                    .items(decisions, Decided::write)
                    .bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Decisions decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            return new Decisions(reader.text(), reader.number(), reader.items(Decided::read));
        }
    }
}
