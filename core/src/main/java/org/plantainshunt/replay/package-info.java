/** Replays the calls that a serving node recorded, with a fresh admission queue on a virtual clock. */
package org.plantainshunt.replay;
