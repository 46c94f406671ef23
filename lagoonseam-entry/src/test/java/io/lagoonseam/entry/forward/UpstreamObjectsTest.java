package io.lagoonseam.entry.forward;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.lagoonseam.entry.store.CollectionObject;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a node tells its peers of the workers' collection after listings that are no state of it. */
public class UpstreamObjectsTest {

    private UpstreamObjects objects;

    private static CollectionObject written(String name, long revision) {
        return new CollectionObject(name, revision, false, JsonNodeFactory.instance.objectNode());
    }

    private Map<String, Long> held() {
        Map<String, Long> held = new TreeMap<>();
        objects.objects().forEach(object -> held.put(object.name(), object.revision()));
        return held;
    }

    @BeforeMethod
    public void list() {
        objects = new UpstreamObjects();
        objects.list(List.of(written("a", 2), written("b", 3), written("c", 5)), 5, 6);
    }

    /** Guards against a snapshot that claims changes which a page of the listing does not show (review, case 10). */
    @Test
    public void aListingWithNewerObjectsIsCompleteUpToItsOwnRevisionOnly() {
        objects.list(List.of(written("a", 2), written("b", 3), written("c", 12)), 12, 8);
        assertEquals(objects.revision(), 8);
        assertEquals(held(), Map.of("a", 2L, "b", 3L, "c", 12L));
        objects.change(written("a", 10));
        objects.change(written("c", 12));
        assertEquals(objects.revision(), 12);
    }

    @Test
    public void anObjectThatIsNewerThanAListingThatLacksItIsKept() {
        objects.change(written("d", 9));
        objects.list(List.of(written("a", 2), written("c", 5)), 5, 8);
        assertEquals(held(), Map.of("a", 2L, "c", 5L, "d", 9L));
        assertEquals(objects.revision(), 9);
    }

    /** Guards against a snapshot whose objects are older than the revision that it claims. */
    @Test
    public void aListingThatIsOlderThanWhatIsHeldMakesNothingOlder() {
        objects.change(written("a", 9));
        objects.remove(new CollectionObject("b", 3, true, null), 10);
        objects.list(List.of(written("a", 2), written("b", 3), written("c", 5)), 5, 6);
        assertEquals(held(), Map.of("a", 9L, "c", 5L));
        assertEquals(objects.revision(), 9);
    }

    @Test
    public void aRemovalThatIsToldAgainDoesNotRemoveALaterObject() {
        objects.list(List.of(written("a", 2), written("b", 9), written("c", 5)), 9, 6);
        objects.remove(new CollectionObject("b", 3, true, null), 7);
        assertEquals(held(), Map.of("a", 2L, "b", 9L, "c", 5L));
    }
}
