package org.plantainshunt.control;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.plantainshunt.configuration.DataCentre;
import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.configuration.VmList;
import org.plantainshunt.membership.StoreReaders;
import org.plantainshunt.membership.StoreReaders.Contact;
import org.plantainshunt.protocol.Announcement;
import org.plantainshunt.protocol.InnerConnection;

/**
 * Exchanges with other nodes who has contact with the platform's store, and applies the decisions of
 * {@link StoreReaders}.
 *
 * <p>The messages are announcements of a document kind of their own, whose number is the message; nodes of earlier
 * versions ignore announcements of unknown kinds. Confined to the control thread.
 */
final class StoreContacts {
    /** The document kind of these messages. */
    static final String KIND = "store-contact";

    static final long REQUEST = 0;
    static final long CURRENT = 1;
    static final long LOST = 2;

    private final String ownDataCentre;
    private final StoreReaders readers;
    private final Supplier<Optional<Contact>> ownContact;
    private final BiConsumer<String, Announcement> send;
    private Optional<Contact> told = Optional.empty();

    /**
     * Creates the contacts of a node that knows no other node.
     *
     * @param ownContact this node's contact with the store, empty if it has not read it yet
     * @param send sends an announcement to the VM of a name
     */
    StoreContacts(
            String ownVm,
            String ownDataCentre,
            RandomGenerator random,
            Supplier<Optional<Contact>> ownContact,
            BiConsumer<String, Announcement> send) {
        this.ownDataCentre = ownDataCentre;
        this.readers = new StoreReaders(ownVm, random);
        this.ownContact = ownContact;
        this.send = send;
    }

    /**
     * Updates the VMs among which readers are chosen: those of this node's region that are not leaving. Without a
     * configuration the regions are unknown, and all VMs count as one region.
     */
    void update(Optional<Document> configuration, VmList list) {
        Optional<String> ownRegion = region(configuration, ownDataCentre);
        readers.region(list.vms().stream()
                .filter(vm ->
                        !vm.leaving() && region(configuration, vm.dataCentre()).equals(ownRegion))
                .map(Vm::name)
                .toList());
    }

    /** Asks one of the sources if a request is due. */
    void tick(long now) {
        readers.nextRequest(now).ifPresent(source -> send.accept(source, message(REQUEST)));
    }

    /** Tells the nodes that rely on this one if its contact has changed, which they would learn only when they ask. */
    void tellFollowers(long now) {
        Optional<Contact> contact = ownContact.get();
        if (contact.equals(told)) {
            return;
        }
        told = contact;
        contact.ifPresent(known -> readers.followers(now).forEach(follower -> send.accept(follower, message(known))));
    }

    /** Handles a message; a request is not answered before this node's first read. */
    void received(InnerConnection from, Announcement message, long now) {
        if (message.number() == REQUEST) {
            readers.requested(from.peerVm(), now);
            ownContact.get().ifPresent(contact -> from.announce(message(contact)));
            return;
        }
        readers.reported(from.peerVm(), message.number() == CURRENT ? Contact.CURRENT : Contact.LOST, now);
    }

    boolean reads(long now) {
        return readers.reads(now);
    }

    /** Returns whether failed reads are worth quick retries: this node is a reader by rank, or others rely on it. */
    boolean isRelevantReader(long now) {
        return readers.isReaderByRank() || !readers.followers(now).isEmpty();
    }

    /** Returns the nodes to tell about a new document immediately. */
    List<String> followers(long now) {
        return readers.followers(now);
    }

    List<String> sources(long now) {
        return readers.sources(now);
    }

    private static Optional<String> region(Optional<Document> configuration, String dataCentre) {
        return configuration
                .flatMap(document -> document.dataCentre(dataCentre))
                .map(DataCentre::region);
    }

    private static Announcement message(Contact contact) {
        return message(contact == Contact.CURRENT ? CURRENT : LOST);
    }

    private static Announcement message(long number) {
        return new Announcement(KIND, number, "");
    }
}
