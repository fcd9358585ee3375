import math
import unittest

from almondspread_standin.capacity.experiments import EXPERIMENTS, Outcome
from almondspread_standin.capacity.fits import Line, Point, find_limit, fit_line
from almondspread_standin.capacity.page import make_marker, render_table, replace_table


class PageTest(unittest.TestCase):
    def test_the_fit_is_that_of_least_squares(self):
        line = fit_line([Point(0, 0), Point(1, 2), Point(2, 1), Point(3, 3)])
        # Worked out by hand from the normal equations.
        self.assertAlmostEqual(line.slope, 0.8)
        self.assertAlmostEqual(line.base, 0.3)
        self.assertAlmostEqual(line.error, math.sqrt(0.45))

    def test_a_line_that_falls_never_reaches_a_bound(self):
        self.assertEqual(find_limit(Line(1.0, -0.1, 0.0), 2.0), math.inf)
        self.assertEqual(find_limit(Line(1.0, 0.0, 0.0), 2.0), math.inf)

    def test_a_table_tells_where_its_bound_is_reached(self):
        experiment = EXPERIMENTS[0]
        points = [Point(size, 10 + size) for size in experiment.sizes]
        table = render_table(Outcome(experiment, {"resident_mib_max": points}))
        self.assertIn("| 58 | 64 | 54 |", table)

    def test_only_the_named_table_is_replaced(self):
        blocks = []
        for name in ("one", "two"):
            begin, end = make_marker(name, "begin"), make_marker(name, "end")
            blocks.append(f"{begin}\nold {name}\n{end}")
        page = replace_table("\n".join(blocks), "one", "new")
        self.assertNotIn("old one", page)
        self.assertIn("old two", page)
